#pragma once

#include "balsampoint/roster/state.hpp"

namespace balsampoint::roster {

/**
 * @brief Sends subscribers what changed since the last update to them.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Receives the messages.
 */
void
PushChanges(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Answers a subscription with what the sender lacks.
 * @param aState State to change.
 * @param aFrom The subscriber.
 * @param aMessage Its subscription.
 * @param aNow The time.
 * @param aActions Receives the answer.
 */
void
HandleSubscribe(State& aState,
                const HostId& aFrom,
                const Subscribe& aMessage,
                Instant aNow,
                Actions& aActions);

/**
 * @brief Takes over claims of another control host.
 * @param aState State to change.
 * @param aFrom The control host.
 * @param aMessage Its claims.
 * @param aNow The time.
 * @param aActions Receives a new subscription where claims are missing.
 */
void
HandleUpdate(State& aState,
             const HostId& aFrom,
             const Update& aMessage,
             Instant aNow,
             Actions& aActions);

/**
 * @brief Subscribes at every control host known, again and again.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Receives the messages.
 */
void
RenewSubscriptions(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::roster
