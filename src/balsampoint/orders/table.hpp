#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"

#include <cstdint>
#include <variant>

namespace balsampoint::orders {

/** @brief The lease as replicated by the control group. */
struct Table
{
  /** Empty if no host holds the lease. */
  HostId holder;
  Incarnation incarnation;
  /** Fencing number of the current or last lease; zero before the first. */
  FencingNumber fencing;
  /** Renewals under this fencing number; a release adds one. */
  std::uint64_t renewals{};

  bool operator==(const Table&) const = default;
};

/** @brief Grants the lease to a host if the table still has the fencing number
 * and the renewals that the host saw. */
struct Grant
{
  HostId holder;
  Incarnation incarnation;
  /** Fencing number in the host's table when it proposed the grant. */
  FencingNumber seenFencing;
  /** Renewals in the host's table when it proposed the grant. */
  std::uint64_t seenRenewals{};

  bool operator==(const Grant&) const = default;
};

/** @brief Extends the lease with this fencing number. */
struct Renew
{
  FencingNumber fencing;
  /** Number of the renewal, one after the last. Lets the holder match it to
   * the time at which it was proposed. */
  std::uint64_t renewal{};

  bool operator==(const Renew&) const = default;
};

/** @brief Ends the lease with this fencing number. Proposed only while no order
 * is open. */
struct Release
{
  FencingNumber fencing;

  bool operator==(const Release&) const = default;
};

/** @brief Commands that the control group replicates for this module. */
using Command = std::variant<Grant, Renew, Release>;

} // namespace balsampoint::orders
