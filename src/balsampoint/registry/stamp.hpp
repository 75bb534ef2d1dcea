#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"

#include <compare>
#include <cstdint>

namespace balsampoint::registry {

/**
 * @brief Orders the claims on one server, by incarnation and then by
 * version.
 */
struct Stamp
{
  Incarnation incarnation;
  /** Increases with each change within one incarnation. */
  std::uint64_t version{};

  auto operator<=>(const Stamp&) const = default;
};

/** @brief Claim of a host to lease one server; the highest claim is valid. */
struct Claim
{
  Stamp stamp;
  /** False once the lease has expired. */
  bool live{ true };
  /** Host that holds the lease. */
  HostId owner;

  auto operator<=>(const Claim&) const = default;
};

} // namespace balsampoint::registry
