#pragma once

#include "balsampoint/core/time.hpp"

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace balsampoint {

/** @brief The closed list of reasons for which balsampoint refuses or fails. */
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

/** @brief What is known about whether refused work was run. */
enum class Executed : std::uint8_t
{
  /** A promise: no part of the work has run or will run. */
  No,
  Yes,
  Unknown,
};

/** @brief How one kind of error is answered. */
struct ErrorAnswer
{
  ErrorKind kind{};
  /** Stable name used in answers, logs and metrics. */
  std::string_view name;
  /** HTTP status code. */
  std::uint16_t status{};
  /** What holds when the error carries no closer knowledge. */
  Executed executed{};
  /** One sentence for the caller. */
  std::string_view title;
};

/** @brief One refusal or failure. */
struct Error
{
  ErrorKind kind{ ErrorKind::Internal };
  /** What happened, for the caller; names no other workspace's data. */
  std::string detail;
  Executed executed{ Executed::No };
  /** When another try may succeed; zero when that is not known. */
  Duration retryAfter{};
};

/** @brief All answers, one for each kind, in the order of the kinds. */
[[nodiscard]] std::span<const ErrorAnswer>
ErrorAnswers() noexcept;

/**
 * @brief Looks up how a kind of error is answered.
 * @param aKind The kind.
 * @return Its row of the table.
 */
[[nodiscard]] const ErrorAnswer&
AnswerFor(ErrorKind aKind) noexcept;

/**
 * @brief The word for `executed` in answers.
 * @param aExecuted The value.
 * @return `no`, `yes` or `unknown`.
 */
[[nodiscard]] std::string_view
ToString(Executed aExecuted) noexcept;

/**
 * @brief Makes an error with the table's `executed`.
 * @param aKind The kind.
 * @param aDetail What happened.
 * @return The error.
 */
[[nodiscard]] Error
MakeError(ErrorKind aKind, std::string_view aDetail);

/**
 * @brief Makes the failed result of a decision, with the table's `executed`.
 * @param aKind The kind.
 * @param aDetail What happened.
 * @return The error, convertible to any `tl::expected` with `Error`.
 */
[[nodiscard]] tl::unexpected<Error>
Refuse(ErrorKind aKind, std::string_view aDetail);

/** @brief An error on its way up through an adapter. */
class Failure : public std::runtime_error
{
public:
  /**
   * @brief Wraps an error.
   * @param aError The error to carry.
   */
  explicit Failure(Error aError);

  /** @brief The error carried. */
  [[nodiscard]] const Error& Cause() const noexcept { return mError; }

private:
  Error mError;
};

} // namespace balsampoint
