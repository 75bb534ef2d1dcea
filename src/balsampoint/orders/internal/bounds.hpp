#pragma once

#include "balsampoint/orders/settings.hpp"

namespace balsampoint::orders::internal {

/** @brief Parts of a million in one. */
inline constexpr std::int64_t kPpm = 1'000'000;

/**
 * @brief How long a holder gives orders, by its own clock from its asking.
 * @param aSettings The times.
 */
[[nodiscard]] constexpr Duration
HolderTime(const Settings& aSettings)
{
  return aSettings.lease / kPpm * (kPpm - aSettings.clockErrorPpm);
}

/**
 * @brief How long another host waits before it asks for the lease.
 * @param aSettings The times.
 */
[[nodiscard]] constexpr Duration
LeaseWait(const Settings& aSettings)
{
  return aSettings.lease / kPpm * (kPpm + aSettings.clockErrorPpm);
}

/**
 * @brief How long a new holder is silent towards engines that ignore numbers.
 * @param aSettings The times.
 */
[[nodiscard]] constexpr Duration
QuietTime(const Settings& aSettings)
{
  const auto error = aSettings.clockErrorPpm;
  const auto longestOrder = aSettings.orderLimit / (kPpm - error) * kPpm;
  return (aSettings.lease + longestOrder) / kPpm * (kPpm + error);
}

} // namespace balsampoint::orders::internal
