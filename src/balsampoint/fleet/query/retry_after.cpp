#include "balsampoint/fleet/query/retry_after.hpp"

#include <algorithm>

namespace balsampoint::fleet {

Duration
RetryAfter(const State& aState, const ServiceId& aService, Instant aNow)
{
  const auto& settings = aState.settings;
  const auto group = aState.groups.find(aService);
  if (group == aState.groups.end() ||
      group->second.lastStartedAt == Instant::min()) {
    return settings.maxRetryAfter;
  }
  return std::clamp(aNow - group->second.lastStartedAt,
                    settings.minRetryAfter,
                    settings.maxRetryAfter);
}

} // namespace balsampoint::fleet
