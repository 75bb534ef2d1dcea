#pragma once

#include "balsampoint/fanout/state.hpp"

namespace balsampoint::fanout {

/**
 * @brief Takes a configuration of this host's own log and passes it on.
 * @param aState State to change.
 * @param aEvent The configuration.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleAccepted(State& aState,
               const Accepted& aEvent,
               Instant aNow,
               Actions& aActions);

/**
 * @brief Takes a step from the parent and passes it on.
 * @param aState State to change.
 * @param aFrom The sender.
 * @param aUpdate The step.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleUpdate(State& aState,
             const HostId& aFrom,
             const Update& aUpdate,
             Instant aNow,
             Actions& aActions);

/**
 * @brief Sends a host what it lacks.
 * @param aState State to read.
 * @param aTo The host.
 * @param aHave Number that it has.
 * @param aNow The time.
 * @param aActions Receives the messages.
 */
void
SendMissing(const State& aState,
            const HostId& aTo,
            ChangeNumber aHave,
            Instant aNow,
            Actions& aActions);

/**
 * @brief Puts the newest configuration in force once nothing newer is known.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Receives the action.
 */
void
PublishWhenReady(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::fanout
