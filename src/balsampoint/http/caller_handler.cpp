#include "balsampoint/http/caller_handler.hpp"

#include "balsampoint/http/command/call_service.hpp"
#include "balsampoint/http/internal/json_field.hpp"
#include "balsampoint/http/problem.hpp"
#include "balsampoint/http/query/health.hpp"
#include "balsampoint/runtime/entropy.hpp"
#include "balsampoint/runtime/steady_clock.hpp"

#include <charconv>
#include <spdlog/spdlog.h>

namespace balsampoint::http {

namespace {

using runtime::SteadyClock;

constexpr std::string_view kBearer = "Bearer ";
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
  constexpr auto kField = "X-Request-Deadline-Ms";
  if (!aRequest.has(kField)) {
    return kNever;
  }
  constexpr std::uint32_t kMaxMs = 24U * 3600 * 1000;
  const auto& text = aRequest.get(kField);
  std::uint32_t milliseconds = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, milliseconds);
  if (result.ec != std::errc{} || result.ptr != end || milliseconds == 0 ||
      milliseconds > kMaxMs) {
    throw Failure{ MakeError(ErrorKind::BadRequest,
                             "X-Request-Deadline-Ms: must be a whole number "
                             "of milliseconds from 1 to 86400000") };
  }
  return SteadyClock::Now() + std::chrono::milliseconds{ milliseconds };
}

std::string
ReadKey(const ServerRequest& aRequest)
{
  const auto& field = aRequest.get("Authorization", "");
  if (!field.starts_with(kBearer)) {
    throw Failure{ MakeError(ErrorKind::Unauthorized,
                             "Authorization: a bearer key is needed") };
  }
  return field.substr(kBearer.size());
}

void
RequirePost(const ServerRequest& aRequest)
{
  if (aRequest.getMethod() != "POST") {
    throw Failure{ MakeError(ErrorKind::MethodNotAllowed,
                             "only POST is taken here") };
  }
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
    if (aRequest.hasContentLength() || aRequest.getChunkedTransferEncoding()) {
      aResponse.setKeepAlive(false);
    }
    SendProblem(aResponse, failure.Cause());
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
    RequirePost(aRequest);
    RunCompletion(mServices, caller, CompletionKind::Text, aRequest, aResponse);
  } else if (uri == "/v1/chat/completions") {
    RequirePost(aRequest);
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
    caller.configuration->keys.FindWorkspace(ReadKey(aRequest));
  if (!workspace) {
    throw Failure{ MakeError(ErrorKind::Unauthorized, "the key is not known") };
  }
  caller.workspace = &caller.configuration->document.workspaces.at(*workspace);
  return caller;
}

} // namespace balsampoint::http
