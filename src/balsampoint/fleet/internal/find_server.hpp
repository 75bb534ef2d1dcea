#pragma once

#include "balsampoint/fleet/state.hpp"

namespace balsampoint::fleet::internal {

/**
 * @brief The server of a hop, unless it has started anew since the hop was
 * chosen.
 * @param aState State to search.
 * @param aService Service that the server belongs to.
 * @param aHop The hop.
 * @return The server, or null.
 */
[[nodiscard]] Server*
FindServer(State& aState, const ServiceId& aService, const Hop& aHop);

} // namespace balsampoint::fleet::internal
