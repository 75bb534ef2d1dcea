#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace balsampoint::member {

/** @brief What is held of a host, in rising order of precedence. */
enum class HostState : std::uint8_t
{
  Alive,
  /** Did not answer; dead unless it refutes that in time. */
  Suspect,
  Dead,
  /** Left by a planned stop. */
  Left,
};

/** @brief One host of the cluster. */
struct Host
{
  HostId id;
  ZoneId zone;
  RegionId region;
  /** IP number and port at which it takes messages of other hosts. */
  std::string address;
  /** Rises with each restart. */
  Incarnation incarnation;
  /** Rises with each refutation of a suspicion within one incarnation. */
  std::uint64_t revision{};
  HostState state{ HostState::Alive };

  /** @brief Whether messages to it make sense. */
  [[nodiscard]] bool Reachable() const noexcept
  {
    return state == HostState::Alive || state == HostState::Suspect;
  }

  bool operator==(const Host&) const = default;
};

/** @brief All known hosts in the order of their ids, this one included. */
struct View
{
  std::vector<Host> hosts;
};

} // namespace balsampoint::member
