#pragma once

#include "balsampoint/fanout/state.hpp"

namespace balsampoint::fanout {

/**
 * @brief Asks the leader, or waits here if this host leads.
 * @param aState State to change.
 * @param aEvent The question.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleAwaitInForce(State& aState,
                   const AwaitInForce& aEvent,
                   Instant aNow,
                   Actions& aActions);

/**
 * @brief Takes another host's question, if this host leads.
 * @param aState State to change.
 * @param aFrom The host.
 * @param aRequest Its question.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleInForceRequest(State& aState,
                     const HostId& aFrom,
                     const InForceRequest& aRequest,
                     Instant aNow,
                     Actions& aActions);

/**
 * @brief Answers those who have waited long enough, or for long.
 * @param aState State of the leader.
 * @param aNow The time.
 * @param aActions Receives the answers.
 */
void
AnswerWaiters(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::fanout
