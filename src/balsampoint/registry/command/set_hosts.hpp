#pragma once

#include "balsampoint/member/host.hpp"
#include "balsampoint/registry/state.hpp"

namespace balsampoint::registry {

/**
 * @brief Takes in which hosts are in reach.
 *
 * Servers leased by a host out of reach stay visible for one lease, in which
 * they can announce themselves to another host.
 * @param aState The registry.
 * @param aView The hosts.
 * @param aNow The time.
 */
void
SetHosts(State& aState, const member::View& aView, Instant aNow);

} // namespace balsampoint::registry
