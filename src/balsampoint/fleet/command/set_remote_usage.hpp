#pragma once

#include "balsampoint/fleet/state.hpp"
#include "balsampoint/usage/message.hpp"

namespace balsampoint::fleet {

/**
 * @brief Replaces the work that other hosts have in progress on each server.
 * @param aState State to change.
 * @param aRemote Sum of their work by server.
 */
void
SetRemoteUsage(State& aState, const usage::RemoteUsage& aRemote);

} // namespace balsampoint::fleet
