#pragma once

#include "balsampoint/registry/state.hpp"

namespace balsampoint::registry {

/**
 * @brief Ends what has run out: leases, summaries and the memory of losses.
 * @param aState The registry.
 * @param aNow The time; a lease ending at it has run out.
 */
void
Expire(State& aState, Instant aNow);

} // namespace balsampoint::registry
