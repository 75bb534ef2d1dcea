#include "balsampoint/fleet/query/retry_after.hpp"

#include "balsampoint/fleet/internal/rate_share.hpp"

#include <algorithm>
#include <chrono>
#include <optional>

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

/** @brief Requests per second that the servers of a group take, if all that
 * receive requests have a rate limit; nothing otherwise. */
std::optional<double>
SumOfLimits(const Group& aGroup)
{
  std::optional<double> sum;
  for (const auto& entry : aGroup.servers) {
    const Server& server = entry.second;
    if (!internal::ReceivesRequests(aGroup, server)) {
      continue;
    }
    if (!server.rateLimit.has_value()) {
      return std::nullopt;
    }
    sum = sum.value_or(0.0) + server.rateLimit.value_or(0.0);
  }
  return sum;
}

/** @brief Time that the servers need for what is refused in a second because of
 * their rate limits. */
Duration
RateLimitTime(const Group& aGroup, Instant aNow)
{
  constexpr double kLongestSeconds = 10.0;
  const auto limits = SumOfLimits(aGroup);
  const auto rate = limits.value_or(0.0);
  const auto excess = internal::DemandRate(aGroup, aNow) - rate;
  if (!limits.has_value() || excess <= 0.0) {
    return Duration{};
  }
  const auto seconds =
    rate > 0.0 ? std::min(excess / rate, kLongestSeconds) : kLongestSeconds;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>{ seconds });
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
