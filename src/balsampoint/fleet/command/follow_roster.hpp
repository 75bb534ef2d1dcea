#pragma once

#include "balsampoint/fleet/state.hpp"
#include "balsampoint/roster/view.hpp"
#include "balsampoint/routing/document.hpp"

namespace balsampoint::fleet {

/**
 * @brief Updates services and servers from the roster and the configuration.
 * The work of a server is kept unless it has restarted.
 * @param aState State to change.
 * @param aView Servers from the roster.
 * @param aDocument Configuration in force.
 */
void
FollowRoster(State& aState,
             const roster::View& aView,
             const routing::Document& aDocument);

} // namespace balsampoint::fleet
