#include "balsampoint/http/caller_handler.hpp"

#include "balsampoint/http/command/call_service.hpp"
#include "balsampoint/http/internal/json_field.hpp"
#include "balsampoint/http/internal/request_field.hpp"
#include "balsampoint/http/problem.hpp"
#include "balsampoint/http/query/health.hpp"
#include "balsampoint/http/query/metrics.hpp"
#include "balsampoint/runtime/entropy.hpp"
#include "balsampoint/runtime/steady_clock.hpp"
#include "balsampoint/trace/log.hpp"

#include <spdlog/spdlog.h>

namespace balsampoint::http {

namespace {

using runtime::SteadyClock;

constexpr Duration kOverloadRetry = std::chrono::seconds{ 1 };

RequestId
NewRequestId()
{
  return RequestId{ internal::Hex(runtime::Entropy::Next()) +
                    internal::Hex(runtime::Entropy::Next()) };
}

Instant
ReadDeadline(const ServerRequest& aRequest)
{
  constexpr std::uint64_t kMaxMs = 24ULL * 3600 * 1000;
  const auto limit =
    internal::ReadNumber(aRequest, "X-Request-Deadline-Ms", 1, kMaxMs);
  if (!limit) {
    return kNever;
  }
  return SteadyClock::Now() + std::chrono::milliseconds{ *limit };
}

} // namespace

CallerHandler::CallerHandler(CallerServices aServices,
                             std::uint32_t aMaxRequests)
  : mServices{ aServices }
  , mMaxRequests{ aMaxRequests }
{
}

void
CallerHandler::Handle(ServerRequest& aRequest, ServerResponse& aResponse)
{
  if (mServices.world.draining) {
    aResponse.setKeepAlive(false);
  }
  try {
    Dispatch(aRequest, aResponse);
  } catch (const Failure& failure) {
    CountFailure(failure.Cause(), aResponse.sent());
    if (aResponse.sent()) {
      spdlog::warn("answer cut short: {}", failure.what());
      return;
    }
    RefuseUnread(aRequest, aResponse, failure.Cause());
  }
}

void
CallerHandler::CountFailure(const Error& aError, bool aAnswerStarted)
{
  mServices.telemetry.metrics.Add(aError.kind);
  mServices.telemetry.metrics.Add(aAnswerStarted ? trace::Outcome::Broken
                                                 : trace::Outcome::Refused);
}

void
CallerHandler::Dispatch(ServerRequest& aRequest, ServerResponse& aResponse)
{
  if (AnswerHealth(mServices.world, aRequest, aResponse) ||
      AnswerMetrics(
        mServices.world, mServices.telemetry, aRequest, aResponse)) {
    return;
  }
  if (mServices.world.draining) {
    throw Failure{ MakeError(ErrorKind::Draining, "the host is stopping") };
  }
  const traffic::ActivityCount::Scope scope{ mServices.world.activity,
                                             mMaxRequests };
  if (!scope.Entered()) {
    auto error =
      MakeError(ErrorKind::Overloaded, "too many requests are in progress");
    error.retryAfter = kOverloadRetry;
    throw Failure{ error };
  }
  Work(aRequest, aResponse);
}

void
CallerHandler::Work(ServerRequest& aRequest, ServerResponse& aResponse)
{
  auto caller = Identify(aRequest);
  aResponse.set("X-Request-Id", caller.id.String());
  const trace::LogScope scope{ caller.id.Value(),
                               caller.workspace->id.Value() };
  trace::Hop hop{ mServices.telemetry, caller.trace, "request" };
  hop.Note("request", caller.id.Value());
  hop.Note("workspace", caller.workspace->id.Value());
  caller.trace = hop.Here();
  try {
    Route(caller, aRequest, aResponse);
  } catch (const Failure& failure) {
    hop.Fail();
    hop.Note("error.kind", AnswerFor(failure.Cause().kind).name);
    throw;
  }
}

void
CallerHandler::Route(const CallerRequest& aCaller,
                     ServerRequest& aRequest,
                     ServerResponse& aResponse)
{
  const auto& uri = aRequest.getURI();
  if (uri == "/v1/completions") {
    internal::RequireMethod(aRequest, "POST");
    RunCompletion(
      mServices, aCaller, CompletionKind::Text, aRequest, aResponse);
  } else if (uri == "/v1/chat/completions") {
    internal::RequireMethod(aRequest, "POST");
    RunCompletion(
      mServices, aCaller, CompletionKind::Chat, aRequest, aResponse);
  } else if (uri.starts_with(kServicesPath)) {
    CallService(mServices, aCaller, aRequest, aResponse);
  } else {
    throw Failure{ MakeError(ErrorKind::NotFound, uri) };
  }
}

CallerRequest
CallerHandler::Identify(const ServerRequest& aRequest) const
{
  runtime::Entropy entropy;
  CallerRequest caller{ .id = NewRequestId(),
                        .configuration = mServices.world.configuration.Read(),
                        .deadline = ReadDeadline(aRequest),
                        .trace = trace::Continue(
                          aRequest.get("traceparent", ""), entropy) };
  if (!caller.configuration) {
    throw Failure{ MakeError(ErrorKind::NotReady,
                             "the host has no configuration yet") };
  }
  const auto workspace =
    caller.configuration->keys.FindWorkspace(internal::ReadKey(aRequest));
  if (!workspace) {
    throw Failure{ MakeError(ErrorKind::Unauthorized, "the key is not known") };
  }
  caller.workspace = &caller.configuration->document.workspaces.at(*workspace);
  return caller;
}

} // namespace balsampoint::http
