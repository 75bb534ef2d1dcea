#pragma once

#include "balsampoint/registry/state.hpp"

namespace balsampoint::registry {

/**
 * @brief Ends the leases that have run out and forgets old losses.
 * @param aState The registry.
 * @param aNow The time; a lease ending at it has run out.
 */
void
Expire(State& aState, Instant aNow);

} // namespace balsampoint::registry
