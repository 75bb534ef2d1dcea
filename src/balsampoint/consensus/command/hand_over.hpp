#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Starts to pass the office on to the most caught-up voter.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleHandOver(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Asks the successor to stand for election once it is caught up.
 * @param aState State of the leader.
 * @param aActions Receives the message.
 */
void
ContinueHandOver(State& aState, Actions& aActions);

/**
 * @brief Gives up a hand-over that takes too long.
 * @param aState State of the leader.
 * @param aActions Receives the answer.
 */
void
AbandonHandOver(State& aState, Actions& aActions);

/**
 * @brief Stands for election at the leader's wish.
 * @param aState State to change.
 * @param aFrom The leader.
 * @param aRequest Its request.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleHandOverRequest(State& aState,
                      const HostId& aFrom,
                      const HandOverRequest& aRequest,
                      Instant aNow,
                      Actions& aActions);

} // namespace balsampoint::consensus
