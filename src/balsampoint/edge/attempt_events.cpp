#include "balsampoint/edge/attempt_events.hpp"

#include "balsampoint/reach/query/choose_detour.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace balsampoint::edge {

exchange::ConnectionLost
LossOf(const Attempt& aAttempt, const TrafficState& aTraffic)
{
  return { .direct = aAttempt.IsDirect(),
           .detourFailed = aAttempt.Connection().DetourFailed(),
           .linkDown = aTraffic.reach.link == reach::Link::Down,
           .linkChangedAt = aTraffic.reach.changedAt };
}

exchange::LinkChanged
LinkChangeOf(const Attempt& aAttempt, const TrafficState& aTraffic)
{
  return { .direct = aAttempt.IsDirect(),
           .usesDetours =
             reach::UsesDetours(aTraffic.reach, TrafficState::Now()) };
}

exchange::LinkSilenceTime
LinkSilenceOf(const Attempt& aAttempt)
{
  return { .direct = aAttempt.IsDirect(),
           .lastReadAt = aAttempt.HasConnection()
                           ? aAttempt.Connection().LastReadAt()
                           : Instant{} };
}

exchange::AnswerRead
AnswerOf(const Attempt& aAttempt,
         const ResponseMetadata& aMetadata,
         const wire::RequestHead& aRequest,
         const RequestId& aId)
{
  auto& parser = aAttempt.Connection().ResponseParser();
  const auto& head = parser.Response();
  exchange::AnswerRead read{
    .claims = { .status = head.HasStatus() ? std::optional{ head.status }
                                           : std::nullopt,
                .namedRequests = aMetadata.namedRequests,
                .namesThisRequest = aMetadata.request == aId.Value(),
                .authenticationCodes = aMetadata.authenticationCodes,
                .hasContentCoding = aMetadata.hasContentCoding,
                .partRequested = aRequest.fields.Count("Range") > 0,
                .endsByClose = head.endsByClose },
    .complete = parser.Complete(),
    .success = head.Success(),
    .notExecuted = aMetadata.notExecuted,
    .direct = aAttempt.IsDirect()
  };
  if (aMetadata.atFault) {
    read.atFault = std::string{ *aMetadata.atFault };
  }
  return read;
}

AnswerOrigin
OriginOf(const Attempt& aAttempt,
         const ResponseMetadata& aMetadata,
         Instant aSentAt)
{
  auto& connection = aAttempt.Connection();
  return { .server = aAttempt.Hops().front(),
           .status = connection.ResponseParser().Response().status,
           .namedRequest = aMetadata.request.value_or(std::string_view{}),
           .sinceSent = TrafficState::Now() - aSentAt };
}

} // namespace balsampoint::edge
