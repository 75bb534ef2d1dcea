#pragma once

#include "balsampoint/roster/claim.hpp"
#include "balsampoint/roster/message.hpp"

#include <vector>

namespace balsampoint::roster {

/** @brief One server as known to this host. */
struct Server
{
  Claim claim;
  /** Whether its control host is unreachable while another one is reachable. */
  bool suspected{ false };

  /** @brief Whether it may be sent new requests. */
  [[nodiscard]] bool TakesWork() const noexcept
  {
    return claim.presence == Presence::Ready && !suspected;
  }

  bool operator==(const Server&) const = default;
};

/** @brief Hosts with which this host exchanges sums over hosts. */
struct Topology
{
  /** Host that sums for this one: its relay, or itself if it is a relay or a
   * control host; empty if no relay is reachable. */
  HostId collector;
  /** Other relays of the zone; empty unless this host is a relay. */
  std::vector<HostId> peers;
  /** Reachable control host with the lowest id, so that most relays choose the
   * same one; empty unless this host is a relay. */
  HostId upstream;

  bool operator==(const Topology&) const = default;
};

/** @brief All servers that have not signed off, ordered by id; immutable. */
struct View
{
  std::vector<Server> servers;
  Topology topology;

  bool operator==(const View&) const = default;
};

} // namespace balsampoint::roster
