#include "balsampoint/limit/query/append_demand.hpp"

#include "balsampoint/limit/internal/demand.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::limit {

void
AppendDemand(const Shortage& aState,
             Instant aNow,
             std::vector<usage::ServiceUsage>& aServices)
{
  for (const auto& [id, service] : aState.services) {
    std::vector<usage::UrgencyDemand> byUrgency;
    for (const auto& [urgency, count] : service.localDemand) {
      const auto rate = internal::RateOf(count, aNow);
      if (rate > 0.0) {
        byUrgency.push_back({ urgency, rate });
      }
    }
    if (byUrgency.empty()) {
      continue;
    }
    const auto listed =
      std::ranges::find(aServices, id, &usage::ServiceUsage::service);
    auto& use = listed == aServices.end()
                  ? aServices.emplace_back(usage::ServiceUsage{ .service = id })
                  : *listed;
    use.byUrgency = std::move(byUrgency);
  }
}

} // namespace balsampoint::limit
