#pragma once

#include "balsampoint/fanout/state.hpp"

namespace balsampoint::fanout {

/**
 * @brief Asks all control hosts for a parent when there is none that lives.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Receives the messages.
 */
void
JoinWhenLost(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Gives a host a parent, as a control host.
 * @param aState State to change.
 * @param aFrom The host.
 * @param aRequest Its request.
 * @param aNow The time.
 * @param aActions Receives the reply.
 */
void
HandleJoinRequest(State& aState,
                  const HostId& aFrom,
                  const JoinRequest& aRequest,
                  Instant aNow,
                  Actions& aActions);

/**
 * @brief Takes a parent and learns how old the own configuration is.
 * @param aState State to change.
 * @param aFrom The control host.
 * @param aReply Its reply.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleJoinReply(State& aState,
                const HostId& aFrom,
                const JoinReply& aReply,
                Instant aNow,
                Actions& aActions);

/**
 * @brief Starts or ends this host's part as the root of the fan-out.
 * @param aState State to change.
 * @param aEvent The leader.
 * @param aNow The time.
 */
void
HandleLeaderKnown(State& aState, const LeaderKnown& aEvent, Instant aNow);

/**
 * @brief Notes that a host has a newer configuration, to ask for it if the tree
 * doesn't bring it.
 * @param aState State to change.
 * @param aEvent What was heard.
 * @param aNow The time.
 */
void
HandleNumberHeard(State& aState, const NumberHeard& aEvent, Instant aNow);

/**
 * @brief Asks a host for the newer configuration it has told of.
 * @param aState State to change.
 * @param aActions Receives the message.
 */
void
FetchNewer(State& aState, Actions& aActions);

} // namespace balsampoint::fanout
