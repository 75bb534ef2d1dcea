#pragma once

#include "balsampoint/registry/state.hpp"

#include <span>

namespace balsampoint::registry {

/**
 * @brief Updates the health of servers from the observations of traffic
 * threads.
 *
 * After a number of consecutive errors this host avoids the server, for a
 * time that doubles with each further avoidance until the server answers.
 * The health is local to this host.
 * @param aState State to change.
 * @param aObservations Observations; those of another incarnation are
 * ignored.
 * @param aNow Current time.
 */
void
Observe(State& aState,
        std::span<const Observation> aObservations,
        Instant aNow);

} // namespace balsampoint::registry
