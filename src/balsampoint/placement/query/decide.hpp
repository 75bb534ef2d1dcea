#pragma once

#include "balsampoint/placement/decision.hpp"
#include "balsampoint/placement/state.hpp"

namespace balsampoint::placement {

/**
 * @brief Decides which engines of a service are to hold which ranges now.
 * @param aState State to read.
 * @param aService The service.
 * @param aNow The time.
 * @return The ranges; empty when nothing is to be done.
 */
[[nodiscard]] Decision
Decide(const State& aState, const ServiceId& aService, Instant aNow);

} // namespace balsampoint::placement
