#include "balsampoint/http/engine_client.hpp"

#include "balsampoint/http/engine_codec.hpp"
#include "balsampoint/runtime/steady_clock.hpp"

#include <utility>

namespace balsampoint::http {

namespace {

constexpr Duration kCancelTimeout = std::chrono::milliseconds{ 250 };
constexpr std::uint16_t kOk = 200;

stream::CallFailed
Failed(const stream::CallId& aId, const CallFailure& aFailure)
{
  const auto kind = aFailure.timedOut ? stream::FailureKind::DeadlinePassed
                                      : stream::FailureKind::ConnectionLost;
  return { .id = aId, .kind = kind, .error = aFailure.error };
}

stream::CallFailed
Refused(const stream::CallId& aId, Error aError)
{
  return { .id = aId,
           .kind = stream::FailureKind::Refused,
           .error = std::move(aError) };
}

} // namespace

EngineClient::EngineClient(ClientPool& aPool,
                           trace::Telemetry& aTelemetry,
                           const trace::Context& aTrace)
  : mPool{ aPool }
  , mTelemetry{ aTelemetry }
  , mTrace{ aTrace }
{
}

stream::Event
EngineClient::Run(const stream::CallStep& aCall)
{
  const auto& id = aCall.call.id;
  const auto body = Post(aCall.target, id, kStepsPath, Encode(aCall.call));
  if (!body) {
    return body.error();
  }
  const auto reply = Decode<stream::StepReply>(*body);
  if (!reply) {
    return Refused(id, reply.error());
  }
  return stream::StepReplied{ *reply };
}

stream::Event
EngineClient::Run(const stream::CallReplay& aCall)
{
  const auto& id = aCall.call.id;
  const auto body = Post(aCall.target, id, kReplaysPath, Encode(aCall.call));
  if (!body) {
    return body.error();
  }
  auto reply = Decode<stream::ReplayReply>(*body);
  if (!reply) {
    return Refused(id, reply.error());
  }
  return stream::ReplayReplied{ std::move(*reply) };
}

stream::Event
EngineClient::Run(const stream::CallImport& aCall)
{
  const auto& id = aCall.call.id;
  const auto body = Post(aCall.target, id, kImportsPath, Encode(aCall.call));
  if (!body) {
    return body.error();
  }
  return stream::Imported{ id };
}

void
EngineClient::Cancel(const stream::CancelAt& aCancel)
{
  const ClientRequest request{ .method = "DELETE",
                               .path = std::string{ kRequestsPath } +
                                       aCancel.request.String() };
  (void)mPool.Call(aCancel.target.address, request, kCancelTimeout);
}

tl::expected<std::string, stream::CallFailed>
EngineClient::Post(const stream::Target& aTarget,
                   const stream::CallId& aId,
                   std::string_view aPath,
                   std::string aBody)
{
  ClientRequest request{ .method = "POST",
                         .path = std::string{ aPath },
                         .body = std::move(aBody) };
  trace::Hop hop{ mTelemetry, mTrace, aPath };
  hop.Note("server.address", aTarget.address);
  request.headers.push_back({ "traceparent", hop.Here().Text() });
  const auto timeout = aTarget.deadline - runtime::SteadyClock::Now();
  auto response = mPool.Call(aTarget.address, request, timeout);
  if (!response || response->status != kOk) {
    hop.Fail();
  }
  if (!response) {
    return tl::unexpected(Failed(aId, response.error()));
  }
  if (response->status != kOk) {
    return tl::unexpected(
      Refused(aId, MakeError(ErrorKind::BackendFailed, response->body)));
  }
  return std::move(response->body);
}

} // namespace balsampoint::http
