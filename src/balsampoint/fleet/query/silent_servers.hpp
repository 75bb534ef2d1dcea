#pragma once

#include "balsampoint/fleet/state.hpp"

#include <vector>

namespace balsampoint::fleet {

/** @brief A server whose streams have had no event for too long. */
struct SilentServer
{
  ServiceId service;
  ServerId server;
  /** IP address and port. */
  std::string address;
};

/**
 * @brief Finds servers that may have failed while streams pass through them.
 *
 * The more streams a server has, the shorter is the common pause of all of
 * them that makes it suspect. Servers that are avoided or were probed
 * recently are left out.
 * @param aState State to read.
 * @param aNow Current time.
 */
[[nodiscard]] std::vector<SilentServer>
SilentServers(const State& aState, Instant aNow);

} // namespace balsampoint::fleet
