#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Continues everything that waited for a durable write.
 * @param aState State to change.
 * @param aEvent The write.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleWriteCompleted(State& aState,
                     const WriteCompleted& aEvent,
                     Instant aNow,
                     Actions& aActions);

/**
 * @brief Steps down and stops sending and receiving messages until the disk
 * works again.
 * @param aState State to change.
 * @param aEvent The failure.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleStorageFailure(State& aState,
                     const StorageFailure& aEvent,
                     Instant aNow,
                     Actions& aActions);

/**
 * @brief Repeats the write of everything that may not be durable.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Receives the write.
 */
void
ResumeStorage(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::consensus
