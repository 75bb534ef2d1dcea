#pragma once

#include "balsampoint/member/host.hpp"
#include "balsampoint/registry/state.hpp"

namespace balsampoint::registry {

/**
 * @brief Updates which hosts are reachable, from the membership view.
 *
 * Servers leased by an unreachable host stay visible for `orphanGrace`, and
 * for one lease if the host has left in order, so that they can announce
 * themselves to another host.
 * @param aState State to change.
 * @param aView View of all hosts.
 * @param aNow Current time.
 */
void
SetHosts(State& aState, const member::View& aView, Instant aNow);

} // namespace balsampoint::registry
