#pragma once

#include "balsampoint/roster/state.hpp"

namespace balsampoint::roster {

/**
 * @brief Sends each live subscriber the claims that changed since its last
 * update.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Messages to send are appended to it.
 */
void
PushChanges(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Adds or renews a subscriber and sends it the claims that it lacks.
 * @param aState State to change.
 * @param aFrom Host that subscribes.
 * @param aMessage Subscription as received.
 * @param aNow Current time.
 * @param aActions The update to send is appended to it.
 */
void
HandleSubscribe(State& aState,
                const HostId& aFrom,
                const Subscribe& aMessage,
                Instant aNow,
                Actions& aActions);

/**
 * @brief Merges the claims of another control host; unknown senders are
 * ignored.
 * @param aState State to change.
 * @param aFrom Control host that sent the update.
 * @param aMessage Update as received.
 * @param aNow Current time.
 * @param aActions Resulting actions are appended to it, with a new
 * subscription if an earlier update was lost.
 */
void
HandleUpdate(State& aState,
             const HostId& aFrom,
             const Update& aMessage,
             Instant aNow,
             Actions& aActions);

/**
 * @brief Renews the subscription at every known control host, and drops
 * hosts that have been silent for too long.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Messages to send are appended to it.
 */
void
RenewSubscriptions(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::roster
