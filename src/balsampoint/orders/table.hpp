#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"

#include <cstdint>
#include <variant>

namespace balsampoint::orders {

/** @brief The lease as every member of the control group holds it. */
struct Table
{
  /** Empty when nobody holds the lease. */
  HostId holder;
  Incarnation incarnation;
  /** Number of the present or last holder. */
  FencingNumber fencing;
  /** Renewals of the present holder. */
  std::uint64_t renewals{};

  bool operator==(const Table&) const = default;
};

/** @brief Makes a host the holder if nothing changed since it looked. */
struct Grant
{
  HostId holder;
  Incarnation incarnation;
  /** What the host saw before it waited. */
  FencingNumber seenFencing;
  std::uint64_t seenRenewals{};

  bool operator==(const Grant&) const = default;
};

/** @brief Extends the lease of the holder with this number. */
struct Renew
{
  FencingNumber fencing;
  /** Matches the renewal to the time at which it was asked. */
  std::uint64_t renewal{};

  bool operator==(const Renew&) const = default;
};

/** @brief Ends the lease of the holder with this number; no order is open. */
struct Release
{
  FencingNumber fencing;

  bool operator==(const Release&) const = default;
};

/** @brief What the control group replicates. */
using Command = std::variant<Grant, Renew, Release>;

} // namespace balsampoint::orders
