#pragma once

#include "balsampoint/fanout/state.hpp"

namespace balsampoint::fanout {

/**
 * @brief Handles a configuration from this host's own log and sends it to the
 * children.
 * @param aState State to change.
 * @param aEvent The configuration; ignored if it isn't newer.
 * @param aNow The current time.
 * @param aActions Actions are appended here.
 */
void
HandleAccepted(State& aState,
               const Accepted& aEvent,
               Instant aNow,
               Actions& aActions);

/**
 * @brief Applies an update and sends it to the children. Requests the missing
 * updates from the sender if the update doesn't follow this host's
 * configuration.
 * @param aState State to change.
 * @param aFrom The sender: the parent, or a host that updates were requested
 * from.
 * @param aUpdate The update, or a heartbeat without a step.
 * @param aNow The current time.
 * @param aActions Actions are appended here.
 */
void
HandleUpdate(State& aState,
             const HostId& aFrom,
             const Update& aUpdate,
             Instant aNow,
             Actions& aActions);

/**
 * @brief Sends a host the updates that it lacks, or the whole configuration if
 * they are no longer stored.
 * @param aState State to read.
 * @param aTo The receiver.
 * @param aHave Number of the receiver's configuration.
 * @param aNow The current time.
 * @param aActions Messages are appended here.
 */
void
SendMissing(const State& aState,
            const HostId& aTo,
            ChangeNumber aHave,
            Instant aNow,
            Actions& aActions);

/**
 * @brief Publishes the newest configuration. A host that isn't ready yet first
 * waits for all control hosts or `Settings::startTimeout`, and until it has the
 * newest configuration that it knows of.
 * @param aState State to change.
 * @param aNow The current time.
 * @param aActions The action is appended here.
 */
void
PublishWhenReady(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::fanout
