#include "balsampoint/fleet/query/retry_after.hpp"

#include <algorithm>

namespace balsampoint::fleet {

namespace {

/** @brief Time until the first server of a group accepts requests again, if all
 * that are ready want none; zero otherwise. */
Duration
BackOffTime(const Group& aGroup, Instant aNow)
{
  auto first = Instant::max();
  for (const auto& [id, server] : aGroup.servers) {
    if (server.ready) {
      first = std::min(first, server.backOffUntil);
    }
  }
  return first == Instant::max() || first <= aNow ? Duration{} : first - aNow;
}

} // namespace

Duration
RetryAfter(const State& aState, const ServiceId& aService, Instant aNow)
{
  const auto& settings = aState.settings;
  const auto found = aState.groups.find(aService);
  if (found == aState.groups.end()) {
    return settings.maxRetryAfter;
  }
  const auto& group = found->second;
  const auto backOff = BackOffTime(group, aNow);
  if (!group.engine) {
    return std::max(settings.plainRetryAfter, backOff);
  }
  if (group.lastStartedAt == Instant::min()) {
    return std::max(settings.maxRetryAfter, backOff);
  }
  return std::max(backOff,
                  std::clamp(aNow - group.lastStartedAt,
                             settings.minRetryAfter,
                             settings.maxRetryAfter));
}

} // namespace balsampoint::fleet
