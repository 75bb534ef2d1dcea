#pragma once

#include "balsampoint/orders/action.hpp"
#include "balsampoint/orders/event.hpp"
#include "balsampoint/orders/state.hpp"

#include <vector>

namespace balsampoint::orders {

/**
 * @brief Takes in a command that the control group applied.
 * @param aState The orders.
 * @param aApplied The command.
 * @param aNow The time.
 */
void
TakeApplied(State& aState, const Applied& aApplied, Instant aNow);

/**
 * @brief Takes in a snapshot of the table; all waits start again.
 * @param aState The orders.
 * @param aRestored The snapshot.
 * @param aNow The time.
 */
void
TakeRestored(State& aState, const Restored& aRestored, Instant aNow);

/**
 * @brief Asks for, renews, gives up or ends the lease when that is due.
 * @param aState The orders.
 * @param aNow The time.
 * @param aActions Receives the proposals.
 */
void
FollowLease(State& aState, Instant aNow, std::vector<Action>& aActions);

} // namespace balsampoint::orders
