#include "balsampoint/core/error.hpp"

#include <array>
#include <cstddef>
#include <utility>

namespace balsampoint {

namespace {

using enum ErrorKind;

constexpr std::array kAnswers{
  ErrorAnswer{ BadRequest,
               "bad_request",
               400,
               Executed::No,
               "The request is not well formed." },
  ErrorAnswer{ Unauthorized,
               "unauthorized",
               401,
               Executed::No,
               "The key is missing or not known." },
  ErrorAnswer{ Forbidden,
               "forbidden",
               403,
               Executed::No,
               "The workspace may not use this." },
  ErrorAnswer{ NotFound,
               "not_found",
               404,
               Executed::No,
               "Nothing is served at this path." },
  ErrorAnswer{ UnknownPipeline,
               "unknown_pipeline",
               404,
               Executed::No,
               "No pipeline has this name." },
  ErrorAnswer{ UnknownService,
               "unknown_service",
               404,
               Executed::No,
               "No service has this name." },
  ErrorAnswer{ MethodNotAllowed,
               "method_not_allowed",
               405,
               Executed::No,
               "The path does not take this method." },
  ErrorAnswer{ RequestTimeout,
               "request_timeout",
               408,
               Executed::No,
               "The request did not arrive in time." },
  ErrorAnswer{ Conflict,
               "conflict",
               409,
               Executed::No,
               "Another change has this number." },
  ErrorAnswer{ KeyReused,
               "key_reused",
               422,
               Executed::No,
               "The idempotency key belongs to another request." },
  ErrorAnswer{ PayloadTooLarge,
               "payload_too_large",
               413,
               Executed::No,
               "The body is over the size limit." },
  ErrorAnswer{ HeadersTooLarge,
               "headers_too_large",
               431,
               Executed::No,
               "The headers are over the size limit." },
  ErrorAnswer{ InvalidConfiguration,
               "invalid_configuration",
               422,
               Executed::No,
               "The configuration has errors." },
  ErrorAnswer{ RateLimited,
               "rate_limited",
               429,
               Executed::No,
               "The workspace is over its limit." },
  ErrorAnswer{ Overloaded,
               "overloaded",
               503,
               Executed::No,
               "The system is at its capacity." },
  ErrorAnswer{ DeadlineExceeded,
               "deadline_exceeded",
               504,
               Executed::Unknown,
               "The deadline passed before the answer was complete." },
  ErrorAnswer{ NoServer,
               "no_server",
               503,
               Executed::No,
               "No backend server in reach can serve this." },
  ErrorAnswer{ NotReady,
               "not_ready",
               503,
               Executed::No,
               "The host has no configuration yet." },
  ErrorAnswer{ Draining,
               "draining",
               503,
               Executed::No,
               "The host is stopping and takes no new work." },
  ErrorAnswer{ ControlUnavailable,
               "control_unavailable",
               503,
               Executed::No,
               "The control group can't be reached." },
  ErrorAnswer{ LedgerFull,
               "ledger_full",
               503,
               Executed::No,
               "No further idempotency key can be claimed now." },
  ErrorAnswer{ OutcomeUnknown,
               "outcome_unknown",
               502,
               Executed::Unknown,
               "The call may or may not have run." },
  ErrorAnswer{ BackendFailed,
               "backend_failed",
               502,
               Executed::Unknown,
               "The backend server failed." },
  ErrorAnswer{ StreamBroken,
               "stream_broken",
               502,
               Executed::Unknown,
               "The answer could not be completed." },
  ErrorAnswer{ StorageFailed,
               "storage_failed",
               500,
               Executed::Unknown,
               "The host could not make its state durable." },
  ErrorAnswer{ Cancelled,
               "cancelled",
               499,
               Executed::Unknown,
               "The caller went away." },
  ErrorAnswer{ Internal,
               "internal",
               500,
               Executed::Unknown,
               "The host failed unexpectedly." },
};

consteval bool
CoversEveryKind()
{
  std::size_t at = 0;
  for (const auto& answer : kAnswers) {
    if (static_cast<std::size_t>(answer.kind) != at++) {
      return false;
    }
  }
  return at == static_cast<std::size_t>(Internal) + 1;
}

static_assert(CoversEveryKind(), "one row for each kind, in order");

} // namespace

std::span<const ErrorAnswer>
ErrorAnswers() noexcept
{
  return kAnswers;
}

const ErrorAnswer&
AnswerFor(ErrorKind aKind) noexcept
{
  return kAnswers[static_cast<std::size_t>(aKind)];
}

std::string_view
ToString(Executed aExecuted) noexcept
{
  switch (aExecuted) {
    case Executed::No:
      return "no";
    case Executed::Yes:
      return "yes";
    case Executed::Unknown:
      break;
  }
  return "unknown";
}

Error
MakeError(ErrorKind aKind, std::string_view aDetail)
{
  return { .kind = aKind,
           .detail = std::string{ aDetail },
           .executed = AnswerFor(aKind).executed };
}

tl::unexpected<Error>
Refuse(ErrorKind aKind, std::string_view aDetail)
{
  return tl::unexpected(MakeError(aKind, aDetail));
}

Failure::Failure(Error aError)
  : std::runtime_error{ aError.detail }
  , mError{ std::move(aError) }
{
}

} // namespace balsampoint
