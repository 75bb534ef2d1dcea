#pragma once

#include "balsampoint/registry/state.hpp"

namespace balsampoint::registry {

/**
 * @brief Ends expired leases, hides servers of unreachable hosts, and drops
 * expired summaries and records of lost servers.
 * @param aState State to change.
 * @param aNow Current time; what expires at exactly this time has expired.
 */
void
Expire(State& aState, Instant aNow);

} // namespace balsampoint::registry
