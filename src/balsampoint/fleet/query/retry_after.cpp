#include "balsampoint/fleet/query/retry_after.hpp"

#include "balsampoint/fleet/internal/rate_share.hpp"

#include <algorithm>
#include <chrono>

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

/** @brief Time that the servers need for what is refused in a second, if all
 * that receive requests have a rate limit; zero otherwise. */
Duration
RateLimitTime(const Group& aGroup, Instant aNow)
{
  constexpr std::chrono::duration<double> kLongest{ 10.0 };
  double rate = 0.0;
  bool any = false;
  for (const auto& [id, server] : aGroup.servers) {
    if (!internal::ReceivesRequests(aGroup, server)) {
      continue;
    }
    if (!server.rateLimit) {
      return {};
    }
    any = true;
    rate += *server.rateLimit;
  }
  const auto excess = internal::DemandRate(aGroup, aNow) - rate;
  if (!any || excess <= 0.0) {
    return {};
  }
  const auto time =
    rate > 0.0 ? std::chrono::duration<double>{ excess / rate } : kLongest;
  return std::chrono::duration_cast<Duration>(std::min(time, kLongest));
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
  const auto least =
    std::max(BackOffTime(group, aNow), RateLimitTime(group, aNow));
  if (!group.engine) {
    return std::max(settings.plainRetryAfter, least);
  }
  if (group.lastStartedAt == Instant::min()) {
    return std::max(settings.maxRetryAfter, least);
  }
  return std::max(least,
                  std::clamp(aNow - group.lastStartedAt,
                             settings.minRetryAfter,
                             settings.maxRetryAfter));
}

} // namespace balsampoint::fleet
