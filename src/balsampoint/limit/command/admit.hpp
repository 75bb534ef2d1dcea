#pragma once

#include "balsampoint/limit/state.hpp"

namespace balsampoint::limit {

/**
 * @brief Admits, queues or refuses a new request.
 * @param aState State to change.
 * @param aArrived The new request.
 * @param aNow Current time.
 * @param aActions Actions are appended here.
 */
void
Arrive(State& aState,
       const Arrived& aArrived,
       Instant aNow,
       std::vector<Action>& aActions);

/**
 * @brief Removes a running or waiting request.
 * @param aState State to change.
 * @param aTicket The request.
 * @param aNow Current time.
 */
void
End(State& aState, Ticket aTicket, Instant aNow);

/**
 * @brief Admits waiting requests by weighted fair queueing while slots and KV
 * are free.
 *
 * Workspaces below their fair share of slots come first, by priority and then
 * by virtual time. A priority therefore never takes another workspace's share.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Actions are appended here.
 */
void
AdmitWaiting(State& aState, Instant aNow, std::vector<Action>& aActions);

/**
 * @brief Refuses waiting requests that can no longer be served in time.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Actions are appended here.
 */
void
RefuseLate(State& aState, Instant aNow, std::vector<Action>& aActions);

} // namespace balsampoint::limit
