#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"

#include <compare>
#include <cstdint>

namespace balsampoint::registry {

/** @brief Orders what hosts say of one server. */
struct Stamp
{
  Incarnation incarnation;
  /** Rises with each change within one incarnation. */
  std::uint64_t version{};

  auto operator<=>(const Stamp&) const = default;
};

/** @brief What a host says of one server; the highest claim is in force. */
struct Claim
{
  Stamp stamp;
  /** False once the lease ran out. */
  bool live{ true };
  /** The host that leases. */
  HostId owner;

  auto operator<=>(const Claim&) const = default;
};

} // namespace balsampoint::registry
