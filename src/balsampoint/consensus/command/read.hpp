#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Asks a quorum whether this host still leads.
 * @param aState State to change.
 * @param aEvent The request; answered under its ticket.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleConfirmLeader(State& aState,
                    const ConfirmLeader& aEvent,
                    Instant aNow,
                    Actions& aActions);

/**
 * @brief Answers the readers for whom a quorum has confirmed the leader.
 * @param aState State of the leader.
 * @param aActions Receives the answers.
 */
void
AnswerReads(State& aState, Actions& aActions);

/**
 * @brief Refuses all readers that wait.
 * @param aState State to change.
 * @param aActions Receives the answers.
 */
void
RefuseReads(State& aState, Actions& aActions);

} // namespace balsampoint::consensus
