#pragma once

#include "balsampoint/limit/state.hpp"

namespace balsampoint::limit {

/**
 * @brief Admits, queues or refuses a request.
 * @param aState State to change.
 * @param aArrived The request.
 * @param aNow The time.
 * @param aActions Actions are appended here.
 */
void
Arrive(State& aState,
       const Arrived& aArrived,
       Instant aNow,
       std::vector<Action>& aActions);

/**
 * @brief Ends a request that runs or waits.
 * @param aState State to change.
 * @param aTicket The request.
 * @param aNow The time.
 */
void
End(State& aState, Ticket aTicket, Instant aNow);

/**
 * @brief Admits waiting requests, in fair order, while there is room.
 *
 * Workspaces below their own share come first, by priority and then by
 * virtual time; so a priority moves nobody out of their share.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Actions are appended here.
 */
void
AdmitWaiting(State& aState, Instant aNow, std::vector<Action>& aActions);

/**
 * @brief Refuses waiting requests that can no longer be served in time.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Actions are appended here.
 */
void
RefuseLate(State& aState, Instant aNow, std::vector<Action>& aActions);

} // namespace balsampoint::limit
