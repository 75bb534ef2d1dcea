#pragma once

#include "balsampoint/placement/decision.hpp"
#include "balsampoint/placement/state.hpp"

namespace balsampoint::placement {

/**
 * @brief Sends the orders of a decision; engines with a pending order are
 * skipped.
 * @param aState State to change.
 * @param aService Service that the engines belong to.
 * @param aDecision Layer ranges that engines are to load.
 * @param aNow Current time.
 * @param aActions Orders to send are appended to it.
 */
void
SendOrders(State& aState,
           const ServiceId& aService,
           const Decision& aDecision,
           Instant aNow,
           Actions& aActions);

} // namespace balsampoint::placement
