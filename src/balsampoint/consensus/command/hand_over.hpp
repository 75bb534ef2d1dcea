#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Starts a transfer of leadership to the most caught-up live voter.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleHandOver(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Asks the successor to start an election once it has the whole log.
 * @param aState State of the leader.
 * @param aActions Receives the message.
 */
void
ContinueHandOver(State& aState, Actions& aActions);

/**
 * @brief Abandons a hand-over that has timed out.
 * @param aState State of the leader.
 * @param aActions Receives the answer.
 */
void
AbandonHandOver(State& aState, Actions& aActions);

/**
 * @brief Starts an election on request of the leader.
 * @param aState State to change.
 * @param aFrom The leader.
 * @param aRequest Its request.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleHandOverRequest(State& aState,
                      const HostId& aFrom,
                      const HandOverRequest& aRequest,
                      Instant aNow,
                      Actions& aActions);

} // namespace balsampoint::consensus
