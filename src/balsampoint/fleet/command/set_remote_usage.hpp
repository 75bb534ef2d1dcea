#pragma once

#include "balsampoint/fleet/state.hpp"
#include "balsampoint/usage/message.hpp"

namespace balsampoint::fleet {

/**
 * @brief Replaces the work that other hosts have in progress on each server and
 * their demand, and takes over what servers have said to them since.
 * @param aState State to change.
 * @param aRemote Sum of their work by server.
 * @param aNow Current time.
 */
void
SetRemoteUsage(State& aState, const usage::RemoteUsage& aRemote, Instant aNow);

} // namespace balsampoint::fleet
