#pragma once

#include "balsampoint/roster/state.hpp"

namespace balsampoint::roster {

/**
 * @brief Sends each live subscriber the claims that changed since its last
 * update, at once or as soon as `Settings::minPushInterval` has passed since
 * the last round.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Messages to send are appended to it.
 */
void
PushChanges(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Tells the followers of a relay once no control host answers it, so
 * that they ask the control hosts themselves.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Messages to send are appended to it.
 */
void
ReportIsolation(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Adds or renews a subscriber and sends it the claims that it lacks, or
 * refers it to relays.
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
 * @brief Merges the claims that a control host or relay sent; hosts to which
 * this one does not subscribe are ignored.
 * @param aState State to change.
 * @param aFrom Host that sent the update.
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

} // namespace balsampoint::roster
