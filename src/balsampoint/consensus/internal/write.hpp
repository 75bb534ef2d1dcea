#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus::internal {

/**
 * @brief Hands a write to the disk, unless storage has failed.
 * @param aState State to change.
 * @param aPersist The write; its number is filled in.
 * @param aActions Receives the write.
 */
void
Write(State& aState, Persist aPersist, Actions& aActions);

/**
 * @brief Makes the term and the vote durable.
 * @param aState State to change.
 * @param aActions Receives the write.
 */
void
WriteHardState(State& aState, Actions& aActions);

/**
 * @brief Sends a message as soon as all writes so far are durable.
 * @param aState State to change.
 * @param aTo Receiver.
 * @param aMessage The message.
 * @param aActions Receives the message if it may leave now.
 */
void
SendWhenDurable(State& aState,
                const HostId& aTo,
                Message aMessage,
                Actions& aActions);

/**
 * @brief Notes that entries from an index on are no longer the durable ones.
 * @param aState State to change.
 * @param aFrom Index of the first.
 */
void
ForgetDurable(State& aState, Index aFrom);

/**
 * @brief Notes a durable write and lets the messages go that waited for it.
 * @param aState State to change.
 * @param aWrite Number of the write.
 * @param aActions Receives the messages.
 */
void
NoteDurable(State& aState, WriteNumber aWrite, Actions& aActions);

} // namespace balsampoint::consensus::internal
