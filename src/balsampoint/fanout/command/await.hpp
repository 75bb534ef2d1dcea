#pragma once

#include "balsampoint/fanout/state.hpp"

namespace balsampoint::fanout {

/**
 * @brief Sends the request to the leader, or registers it here if this host
 * leads.
 * @param aState State to change.
 * @param aEvent The request.
 * @param aNow The current time.
 * @param aActions Actions are appended here.
 */
void
HandleAwaitInForce(State& aState,
                   const AwaitInForce& aEvent,
                   Instant aNow,
                   Actions& aActions);

/**
 * @brief Registers a host's request; ignored if this host doesn't lead.
 * @param aState State to change.
 * @param aFrom The host that sent the request.
 * @param aRequest The request.
 * @param aNow The current time.
 * @param aActions Actions are appended here.
 */
void
HandleInForceRequest(State& aState,
                     const HostId& aFrom,
                     const InForceRequest& aRequest,
                     Instant aNow,
                     Actions& aActions);

/**
 * @brief Answers the requests whose configuration is in force everywhere or
 * whose wait has ended.
 * @param aState State of the leader.
 * @param aNow The current time.
 * @param aActions Answers are appended here.
 */
void
AnswerWaiters(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::fanout
