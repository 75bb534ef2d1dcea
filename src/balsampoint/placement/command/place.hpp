#pragma once

#include "balsampoint/placement/decision.hpp"
#include "balsampoint/placement/state.hpp"

namespace balsampoint::placement {

/**
 * @brief Orders what was decided and repeats orders without effect.
 * @param aState State to change.
 * @param aService The service.
 * @param aDecision Ranges to hold.
 * @param aNow The time.
 * @param aActions Receives the orders.
 */
void
GiveOrders(State& aState,
           const ServiceId& aService,
           const Decision& aDecision,
           Instant aNow,
           Actions& aActions);

} // namespace balsampoint::placement
