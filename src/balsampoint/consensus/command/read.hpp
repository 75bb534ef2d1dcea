#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Starts a round of messages that confirms that this host still leads.
 * @param aState State to change.
 * @param aEvent The request; the answer carries its ticket.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleConfirmLeader(State& aState,
                    const ConfirmLeader& aEvent,
                    Instant aNow,
                    Actions& aActions);

/**
 * @brief Answers the pending reads whose round a quorum has answered.
 * @param aState State of the leader.
 * @param aActions Receives the answers.
 */
void
AnswerReads(State& aState, Actions& aActions);

/**
 * @brief Refuses all pending reads.
 * @param aState State to change.
 * @param aActions Receives the answers.
 */
void
RefuseReads(State& aState, Actions& aActions);

} // namespace balsampoint::consensus
