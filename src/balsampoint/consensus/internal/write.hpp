#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus::internal {

/**
 * @brief Passes a write to the disk. While storage has failed, only a write
 * with `resume` set is passed on.
 * @param aState State to change.
 * @param aPersist The write; its number is filled in.
 * @param aActions Receives the write.
 */
void
Write(State& aState, Persist aPersist, Actions& aActions);

/**
 * @brief Writes the hard state (term, vote, recovery flag) to the disk.
 * @param aState State to change.
 * @param aActions Receives the write.
 */
void
WriteHardState(State& aState, Actions& aActions);

/**
 * @brief Sends a message once all writes so far are durable; drops it while
 * storage has failed.
 * @param aState State to change.
 * @param aTo Receiver.
 * @param aMessage The message.
 * @param aActions Receives the message if no write is outstanding.
 */
void
SendWhenDurable(State& aState,
                const HostId& aTo,
                Message aMessage,
                Actions& aActions);

/**
 * @brief Marks the entries from an index on as not durable, because they are
 * about to be replaced.
 * @param aState State to change.
 * @param aFrom Index of the first entry.
 */
void
MarkNotDurable(State& aState, Index aFrom);

/**
 * @brief Records a durable write and sends the messages that waited for it.
 * @param aState State to change.
 * @param aWrite Number of the write.
 * @param aActions Receives the messages.
 */
void
MarkDurable(State& aState, WriteNumber aWrite, Actions& aActions);

} // namespace balsampoint::consensus::internal
