#pragma once

#include "balsampoint/roster/claim.hpp"
#include "balsampoint/roster/message.hpp"

#include <vector>

namespace balsampoint::roster {

/** @brief One server as this host believes it to be. */
struct Server
{
  Claim claim;
  /** Whether the host that hears it is out of reach while others are not. */
  bool doubted{ false };

  /** @brief Whether new work may go to it. */
  [[nodiscard]] bool TakesWork() const noexcept
  {
    return claim.presence == Presence::Ready && !doubted;
  }

  bool operator==(const Server&) const = default;
};

/** @brief All servers that have not signed off, by their ids; immutable. */
struct View
{
  std::vector<Server> servers;
  std::vector<ControlHost> controls;
  /** The control host in reach that all hosts are likely to choose; empty if
   * none is in reach. */
  HostId collector;

  bool operator==(const View&) const = default;
};

} // namespace balsampoint::roster
