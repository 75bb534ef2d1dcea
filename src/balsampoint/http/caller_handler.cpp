#include "balsampoint/http/caller_handler.hpp"

#include "balsampoint/http/command/call_service.hpp"
#include "balsampoint/http/internal/json_field.hpp"
#include "balsampoint/http/internal/request_field.hpp"
#include "balsampoint/http/problem.hpp"
#include "balsampoint/http/query/health.hpp"
#include "balsampoint/runtime/entropy.hpp"
#include "balsampoint/runtime/steady_clock.hpp"

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
    if (aResponse.sent()) {
      spdlog::warn("answer cut short: {}", failure.what());
      return;
    }
    RefuseUnread(aRequest, aResponse, failure.Cause());
  }
}

void
CallerHandler::Dispatch(ServerRequest& aRequest, ServerResponse& aResponse)
{
  if (AnswerHealth(mServices.world, aRequest, aResponse)) {
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
  const auto caller = Identify(aRequest);
  aResponse.set("X-Request-Id", caller.id.String());
  const auto& uri = aRequest.getURI();
  if (uri == "/v1/completions") {
    internal::RequireMethod(aRequest, "POST");
    RunCompletion(mServices, caller, CompletionKind::Text, aRequest, aResponse);
  } else if (uri == "/v1/chat/completions") {
    internal::RequireMethod(aRequest, "POST");
    RunCompletion(mServices, caller, CompletionKind::Chat, aRequest, aResponse);
  } else if (uri.starts_with(kServicesPath)) {
    CallService(mServices, caller, aRequest, aResponse);
  } else {
    throw Failure{ MakeError(ErrorKind::NotFound, uri) };
  }
}

CallerRequest
CallerHandler::Identify(const ServerRequest& aRequest) const
{
  CallerRequest caller{ .id = NewRequestId(),
                        .configuration = mServices.world.configuration.Read(),
                        .deadline = ReadDeadline(aRequest),
                        .traceParent = aRequest.get("traceparent", "") };
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
