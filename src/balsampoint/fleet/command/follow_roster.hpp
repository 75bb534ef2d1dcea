#pragma once

#include "balsampoint/fleet/state.hpp"
#include "balsampoint/roster/view.hpp"
#include "balsampoint/routing/document.hpp"

namespace balsampoint::fleet {

/**
 * @brief Takes over which servers there are; own work on them is kept.
 * @param aState State to change.
 * @param aView The servers.
 * @param aDocument The configuration in force.
 */
void
FollowRoster(State& aState,
             const roster::View& aView,
             const routing::Document& aDocument);

} // namespace balsampoint::fleet
