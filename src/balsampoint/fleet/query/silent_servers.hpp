#pragma once

#include "balsampoint/fleet/state.hpp"

#include <vector>

namespace balsampoint::fleet {

/** @brief A server from whose streams no event has come for too long. */
struct SilentServer
{
  ServiceId service;
  ServerId server;
  /** IP number and port. */
  std::string address;
};

/**
 * @brief Finds servers that may have died while streams write through them.
 *
 * The more streams pass through a server, the sooner a pause of all of them
 * together points to it. Servers tested lately are left out.
 * @param aState State to read.
 * @param aNow The time.
 */
[[nodiscard]] std::vector<SilentServer>
SilentServers(const State& aState, Instant aNow);

} // namespace balsampoint::fleet
