#pragma once

#include "balsampoint/placement/decision.hpp"
#include "balsampoint/placement/state.hpp"

namespace balsampoint::placement {

/**
 * @brief Decides which engines of a service are to load which layer ranges
 * now.
 * @param aState State to read.
 * @param aService Service that the engines belong to.
 * @param aNow Current time.
 * @return Ranges to load; empty if nothing is to be changed.
 */
[[nodiscard]] Decision
Decide(const State& aState, const ServiceId& aService, Instant aNow);

} // namespace balsampoint::placement
