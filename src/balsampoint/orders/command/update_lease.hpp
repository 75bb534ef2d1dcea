#pragma once

#include "balsampoint/orders/action.hpp"
#include "balsampoint/orders/event.hpp"
#include "balsampoint/orders/state.hpp"

#include <vector>

namespace balsampoint::orders {

/**
 * @brief Handles a committed command: starts, extends or ends this host's
 * lease.
 * @param aState State to change.
 * @param aApplied The command.
 * @param aNow The current time.
 */
void
HandleApplied(State& aState, const Applied& aApplied, Instant aNow);

/**
 * @brief Handles a snapshot of the table. The wait before the next request for
 * the lease starts again.
 * @param aState State to change.
 * @param aRestored The snapshot.
 * @param aNow The current time.
 */
void
HandleRestored(State& aState, const Restored& aRestored, Instant aNow);

/**
 * @brief Requests, renews, releases or expires the lease when that is due.
 * @param aState State to change.
 * @param aNow The current time.
 * @param aActions Proposals are appended here.
 */
void
UpdateLease(State& aState, Instant aNow, std::vector<Action>& aActions);

} // namespace balsampoint::orders
