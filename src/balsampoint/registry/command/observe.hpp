#pragma once

#include "balsampoint/registry/state.hpp"

#include <span>

namespace balsampoint::registry {

/**
 * @brief Takes in what traffic threads saw of servers.
 *
 * Errors in a row make this host avoid the server for a time that doubles with
 * each relapse; other hosts judge for themselves.
 * @param aState The registry.
 * @param aObservations What was seen; of an old incarnation it is ignored.
 * @param aNow The time.
 */
void
Observe(State& aState,
        std::span<const Observation> aObservations,
        Instant aNow);

} // namespace balsampoint::registry
