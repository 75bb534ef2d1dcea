#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace balsampoint::forward {

/** @brief Maximum number of interim answers before an answer. */
inline constexpr std::uint32_t kMaxInterimAnswers = 16;

/** @brief What the head of an answer says about the answer itself. */
struct AnswerClaims
{
  /** HTTP status; absent if the number in its place is none. */
  std::optional<std::uint16_t> status;
  /** Number of interim answers before it. */
  std::uint32_t interimBefore{};
  /** Number of times that it names a request. */
  std::size_t namedRequests{};
  /** Whether the first of them is the request that waits for an answer. */
  bool namesThisRequest{ false };
  /** Number of the server's authentication codes. */
  std::size_t authenticationCodes{};
  /** Whether the body has a content coding, which no request asks for. */
  bool hasContentCoding{ false };
  /** Whether the request asks for a part of a body. */
  bool partRequested{ false };
  /** Whether it lasts until its connection ends. */
  bool endsByClose{ false };
};

/** @brief Whether an answer belongs to the request that waits for one. */
enum class AnswerVerdict : std::uint8_t
{
  /** The answer to this request. */
  Own,
  /** A number that is no status, so that nothing defines what it means. */
  NoStatus,
  /** Precedes the answer. */
  Interim,
  /** One interim answer too many: no other may follow. */
  InterimWithoutEnd,
  /** An interim answer with the code of a final one, which it may replace. */
  InterimAuthenticated,
  /** A late or second answer to another request. */
  OtherRequest,
  /** The same, with nothing behind it on its connection. */
  OtherRequestUntilClose,
  /** Names no request. */
  NoRequest,
  /** Names more than one request, so that two heads may be mixed in it. */
  SeveralRequests,
  /** A success without exactly one authentication code. */
  NotAuthenticated,
  /** A success with a body that isn't the server's plain one. */
  ContentCoding,
  /** A success with a part of a body. */
  PartialContent,
  /** Ends HTTP on the connection, which no request asks for. */
  ProtocolSwitch,
};

/**
 * @brief Decides whether an answer belongs to the request that waits for one.
 *
 * The place of an answer on a connection proves nothing: servers may send an
 * answer twice, and late. Only what the answer says of itself counts.
 * @param aClaims What its head says.
 */
[[nodiscard]] AnswerVerdict
CheckAnswer(const AnswerClaims& aClaims);

/**
 * @brief Whether the answer to the request may still follow on the connection.
 * @param aVerdict Verdict on the answer before.
 */
[[nodiscard]] constexpr bool
MaySkip(AnswerVerdict aVerdict)
{
  return aVerdict == AnswerVerdict::Interim ||
         aVerdict == AnswerVerdict::OtherRequest;
}

/**
 * @brief Describes a verdict, for logs and errors.
 * @param aVerdict The verdict.
 */
[[nodiscard]] std::string_view
Describe(AnswerVerdict aVerdict);

} // namespace balsampoint::forward
