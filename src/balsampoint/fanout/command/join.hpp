#pragma once

#include "balsampoint/fanout/state.hpp"

namespace balsampoint::fanout {

/**
 * @brief Sends join requests to all control hosts if this host isn't ready or
 * has lost its parent or the leader.
 * @param aState State to change.
 * @param aNow The current time.
 * @param aActions Messages are appended here.
 */
void
JoinWhenLost(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Answers a join request with a parent and the newest known number.
 *
 * A control host that knows another leader forwards the request to it: the
 * leader may be none of the joining host's seeds.
 * @param aState State of a control host.
 * @param aFrom The joining host, or a host that forwards its request.
 * @param aRequest The request.
 * @param aNow The current time.
 * @param aActions The reply is appended here.
 */
void
HandleJoinRequest(State& aState,
                  const HostId& aFrom,
                  const JoinRequest& aRequest,
                  Instant aNow,
                  Actions& aActions);

/**
 * @brief Handles a join reply: adopts the parent if the current one is lost,
 * and requests a newer configuration if the control host has one.
 * @param aState State to change.
 * @param aFrom The control host.
 * @param aReply The reply.
 * @param aNow The current time.
 * @param aActions Actions are appended here.
 */
void
HandleJoinReply(State& aState,
                const HostId& aFrom,
                const JoinReply& aReply,
                Instant aNow,
                Actions& aActions);

/**
 * @brief Handles a change of leader; this host becomes or stops being the root
 * of the tree.
 * @param aState State to change.
 * @param aEvent The leader.
 * @param aNow The current time.
 */
void
HandleLeaderChanged(State& aState, const LeaderChanged& aEvent, Instant aNow);

/**
 * @brief Records that a host has a newer configuration. It is fetched from that
 * host if the tree doesn't deliver it within `Settings::fetchDelay`.
 * @param aState State to change.
 * @param aEvent The host and its number.
 * @param aNow The current time.
 */
void
HandleNumberAdvertised(State& aState,
                       const NumberAdvertised& aEvent,
                       Instant aNow);

/**
 * @brief Requests a newer configuration from the host recorded in
 * `State::newer`, if it is still needed.
 * @param aState State to change.
 * @param aActions The message is appended here.
 */
void
FetchNewer(State& aState, Actions& aActions);

} // namespace balsampoint::fanout
