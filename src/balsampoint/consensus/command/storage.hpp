#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Lets what waited for a durable write go on.
 * @param aState State to change.
 * @param aEvent The write.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleSynced(State& aState,
             const Synced& aEvent,
             Instant aNow,
             Actions& aActions);

/**
 * @brief Stops acknowledging until the disk works again.
 * @param aState State to change.
 * @param aEvent The failure.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleStorageFailure(State& aState,
                     const StorageFailure& aEvent,
                     Instant aNow,
                     Actions& aActions);

/**
 * @brief Writes again everything that may not be durable.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Receives the write.
 */
void
ResumeStorage(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::consensus
