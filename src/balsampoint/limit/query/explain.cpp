#include "balsampoint/limit/query/explain.hpp"

#include "balsampoint/limit/internal/demand.hpp"
#include "balsampoint/limit/query/waiting.hpp"

#include <algorithm>
#include <cstddef>

namespace balsampoint::limit {

std::optional<ShortageExplanation>
Explain(const Shortage& aState,
        const ServiceId& aService,
        WaitRequest aRequest,
        const RequestId& aId,
        Instant aNow)
{
  const auto found = aState.services.find(aService);
  if (found == aState.services.end()) {
    return std::nullopt;
  }
  const auto& service = found->second;
  ShortageExplanation explanation{
    .level = LevelOf(aState, aService, aRequest.urgency, aNow),
    .demand = internal::SumOfDemand(service, aNow)
  };
  explanation.requestLevel =
    aId.Empty() ? RequestLevel{ .fraction = explanation.level.fraction }
                : DrawLevel(aState.settings, explanation.level, aId);
  aRequest.fraction = explanation.requestLevel.fraction;
  if (service.remoteAt != Instant::min()) {
    explanation.sumsAge = aNow - service.remoteAt;
  }
  explanation.waitingBefore = static_cast<std::size_t>(
    std::ranges::count_if(service.waiting, [&](const WaitRequest& aWaiting) {
      return internal::IsBefore(service, aWaiting, aRequest);
    }));
  explanation.blocked = IsBlocked(aState, aService, aRequest);
  explanation.expectedWait = internal::ExpectedWait(service, aRequest, aNow);
  explanation.wouldWait = internal::IsInTime(service, aRequest, aNow);
  return explanation;
}

} // namespace balsampoint::limit
