#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace balsampoint::member {

/** @brief State of a host, in ascending order of precedence. */
enum class HostState : std::uint8_t
{
  Alive,
  /** Did not answer a probe; becomes dead unless it refutes this in time. */
  Suspect,
  Dead,
  /** Left by a planned stop. */
  Left,
};

/** @brief A host of the cluster, as carried in messages. */
struct Host
{
  HostId id;
  ZoneId zone;
  RegionId region;
  /** IP address and port on which it receives messages of other hosts. */
  std::string address;
  /** Increases with each restart. */
  Incarnation incarnation;
  /** Increases with each refutation within one incarnation. */
  std::uint64_t revision{};
  HostState state{ HostState::Alive };

  /** @brief Whether the host may still receive messages: alive or suspect. */
  [[nodiscard]] bool Reachable() const noexcept
  {
    return state == HostState::Alive || state == HostState::Suspect;
  }

  bool operator==(const Host&) const = default;
};

/** @brief All known hosts including this one, sorted by id. */
struct View
{
  std::vector<Host> hosts;
};

} // namespace balsampoint::member
