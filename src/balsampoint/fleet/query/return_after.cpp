#include "balsampoint/fleet/query/return_after.hpp"

#include <algorithm>

namespace balsampoint::fleet {

Duration
ReturnAfter(const State& aState, const ServiceId& aService, Instant aNow)
{
  const auto& settings = aState.settings;
  const auto group = aState.groups.find(aService);
  if (group == aState.groups.end() || group->second.begunAt == Instant::min()) {
    return settings.longestReturn;
  }
  return std::clamp(aNow - group->second.begunAt,
                    settings.shortestReturn,
                    settings.longestReturn);
}

} // namespace balsampoint::fleet
