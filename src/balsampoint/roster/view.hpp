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

/** @brief All servers that have not signed off, ordered by id; immutable. */
struct View
{
  std::vector<Server> servers;
  std::vector<ControlHost> controls;
  /** Reachable control host with the lowest id, other than this host, so that
   * most hosts choose the same one; empty if none is reachable. */
  HostId collector;

  bool operator==(const View&) const = default;
};

} // namespace balsampoint::roster
