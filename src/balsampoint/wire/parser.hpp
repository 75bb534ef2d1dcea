#pragma once

#include "balsampoint/wire/head.hpp"

#include <cstddef>
#include <cstdint>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace balsampoint::wire {

/** @brief Why bytes can't be a message. */
enum class ParseError : std::uint8_t
{
  None,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
};

/** @brief Bounds on one message. */
struct MessageLimits
{
  std::size_t headBytes{ 65536 };
  std::uint64_t bodyBytes{ 64ULL * 1024 * 1024 };
};

/** @brief Which kind of message a parser reads. */
enum class MessageKind : std::uint8_t
{
  Request,
  Response,
};

/**
 * @brief Reads one HTTP/1.1 message after the other from pieces of bytes.
 *
 * The head is held back until it is whole and is refused unless each line ends
 * with CR LF, has a name without spaces and isn't folded. Lengths that
 * contradict each other are refused. The body is handed out as it comes.
 */
class Parser
{
public:
  /**
   * @brief Starts before a message.
   * @param aKind What is read.
   * @param aLimits Bounds on each message.
   */
  explicit Parser(MessageKind aKind, MessageLimits aLimits = {});

  Parser(const Parser&) = delete;
  Parser& operator=(const Parser&) = delete;
  Parser(Parser&&) = delete;
  Parser& operator=(Parser&&) = delete;
  ~Parser() = default;

  /** @brief Prepares for the next message. */
  void Restart();

  /**
   * @brief Bounds the messages that follow.
   * @param aLimits The bounds.
   */
  void Limit(MessageLimits aLimits) { mLimits = aLimits; }

  /** @brief Says that the answer read next has no body, as that to `HEAD`. */
  void ExpectNoBody() { mNoBody = true; }

  /**
   * @brief Reads bytes up to the end of the message.
   * @param aBytes The bytes.
   * @return How many were used; fewer than given at the end of a message.
   */
  std::size_t Read(std::string_view aBytes);

  /** @brief Reads the end of the connection, which may end an answer. */
  void ReadEnd();

  /** @brief Why reading failed; `None` if it has not. */
  [[nodiscard]] ParseError Error() const noexcept { return mError; }

  /** @brief Whether the head is complete. */
  [[nodiscard]] bool HasHead() const noexcept { return mHasHead; }

  /** @brief Whether the message is complete. */
  [[nodiscard]] bool Complete() const noexcept { return mComplete; }

  /** @brief Whether a part of a message was read. */
  [[nodiscard]] bool Started() const noexcept
  {
    return mHasHead || !mHead.empty();
  }

  /** @brief The head of a request; once `HasHead`. */
  [[nodiscard]] RequestHead& Request() noexcept { return mRequest; }

  /** @brief The head of an answer; once `HasHead`. */
  [[nodiscard]] ResponseHead& Response() noexcept { return mResponse; }

  /** @brief The head of an answer; once `HasHead`. */
  [[nodiscard]] const ResponseHead& Response() const noexcept
  {
    return mResponse;
  }

  /** @brief Takes what was read of the body since the last call. */
  [[nodiscard]] std::string TakeBody();

  /** @brief Bytes of the body read and not taken yet. */
  [[nodiscard]] std::size_t BodySize() const noexcept { return mBody.size(); }

private:
  std::size_t ReadHead(std::string_view aBytes);
  void ParseHead();
  std::size_t Execute(std::string_view aBytes);
  void FinishHead();

  static http_parser_settings MakeCallbacks();
  static Parser& Of(http_parser* aParser);
  static int OnBody(http_parser* aParser, const char* aAt, std::size_t aSize);
  static int OnHeadersComplete(http_parser* aParser);
  static int OnMessageComplete(http_parser* aParser);

  MessageKind mKind;
  MessageLimits mLimits;
  http_parser mParser{};
  std::string mHead;
  RequestHead mRequest;
  ResponseHead mResponse;
  std::string mBody;
  std::uint64_t mBodyRead{};
  ParseError mError{ ParseError::None };
  bool mHasHead{ false };
  bool mComplete{ false };
  bool mNoBody{ false };
};

} // namespace balsampoint::wire
