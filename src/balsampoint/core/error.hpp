#pragma once

#include "balsampoint/core/time.hpp"

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace balsampoint {

/** @brief All kinds of refusals and failures. */
enum class ErrorKind : std::uint8_t
{
  BadRequest,
  Unauthorized,
  Forbidden,
  NotFound,
  UnknownPipeline,
  UnknownService,
  MethodNotAllowed,
  RequestTimeout,
  Conflict,
  KeyReused,
  PayloadTooLarge,
  HeadersTooLarge,
  InvalidConfiguration,
  RateLimited,
  Overloaded,
  DeadlineExceeded,
  NoServer,
  NotReady,
  Draining,
  ControlUnavailable,
  LedgerFull,
  OutcomeUnknown,
  BackendFailed,
  StreamBroken,
  StorageFailed,
  Cancelled,
  Internal,
};

/** @brief Whether a failed request was executed. */
enum class Executed : std::uint8_t
{
  /** Guarantees that no part of the request was or will be executed. */
  No,
  Yes,
  Unknown,
};

/** @brief The answer to callers for one kind of error. */
struct ErrorAnswer
{
  ErrorKind kind{};
  /** Stable name in answers, logs and metrics. */
  std::string_view name;
  /** HTTP status code. */
  std::uint16_t status{};
  /** Value of `Error::executed` unless the code that fails knows better. */
  Executed executed{};
  /** Description of the kind, one sentence. */
  std::string_view title;
};

/** @brief One refusal or failure. */
struct Error
{
  ErrorKind kind{ ErrorKind::Internal };
  /** Description for the caller; must not contain another workspace's data. */
  std::string detail;
  Executed executed{ Executed::No };
  /** Time after which a retry may succeed; zero if unknown. */
  Duration retryAfter{};
};

/** @brief Returns the answers for all kinds, in the order of the kinds. */
[[nodiscard]] std::span<const ErrorAnswer>
ErrorAnswers() noexcept;

/**
 * @brief Returns the answer for a kind of error.
 * @param aKind The kind.
 * @return Its entry in `ErrorAnswers`.
 */
[[nodiscard]] const ErrorAnswer&
AnswerFor(ErrorKind aKind) noexcept;

/**
 * @brief Returns the text of an `Executed` value in answers.
 * @param aExecuted The value.
 * @return `no`, `yes` or `unknown`.
 */
[[nodiscard]] std::string_view
ToString(Executed aExecuted) noexcept;

/**
 * @brief Creates an error with the `executed` of its kind's answer.
 * @param aKind The kind.
 * @param aDetail Description for the caller.
 * @return The error.
 */
[[nodiscard]] Error
MakeError(ErrorKind aKind, std::string_view aDetail);

/**
 * @brief Creates a failed result with the `executed` of its kind's answer.
 * @param aKind The kind.
 * @param aDetail Description for the caller.
 * @return The error, convertible to any `tl::expected` with `Error`.
 */
[[nodiscard]] tl::unexpected<Error>
Refuse(ErrorKind aKind, std::string_view aDetail);

/** @brief Exception that carries an error through an adapter. */
class Failure : public std::runtime_error
{
public:
  /**
   * @brief Creates an exception for an error.
   * @param aError The error.
   */
  explicit Failure(Error aError);

  /** @brief Returns the error. */
  [[nodiscard]] const Error& Cause() const noexcept { return mError; }

private:
  Error mError;
};

} // namespace balsampoint
