#pragma once

#include "balsampoint/orders/settings.hpp"

namespace balsampoint::orders::internal {

/** @brief Number of parts per million in one whole. */
inline constexpr std::int64_t kMillion = 1'000'000;

/**
 * @brief How long a holder may send orders, on its own clock, from its request
 * for the lease. Shorter than the lease by the largest clock error.
 * @param aSettings Lease length and clock error.
 */
[[nodiscard]] constexpr Duration
HolderLeaseTime(const Settings& aSettings)
{
  return aSettings.lease / kMillion * (kMillion - aSettings.clockErrorPpm);
}

/**
 * @brief How long another host waits, on its own clock, before it requests the
 * lease. Longer than the lease by the largest clock error.
 * @param aSettings Lease length and clock error.
 */
[[nodiscard]] constexpr Duration
GrantDelay(const Settings& aSettings)
{
  return aSettings.lease / kMillion * (kMillion + aSettings.clockErrorPpm);
}

/**
 * @brief How long a new holder sends no orders to engines that ignore fencing
 * numbers. Covers the previous lease and the longest order sent under it, with
 * the largest clock error of both hosts.
 * @param aSettings Lease length, order limit and clock error.
 */
[[nodiscard]] constexpr Duration
TakeoverDelay(const Settings& aSettings)
{
  const auto error = aSettings.clockErrorPpm;
  const auto longestOrder =
    aSettings.orderLimit / (kMillion - error) * kMillion;
  return (aSettings.lease + longestOrder) / kMillion * (kMillion + error);
}

} // namespace balsampoint::orders::internal
