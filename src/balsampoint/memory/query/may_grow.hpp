#pragma once

#include "balsampoint/memory/state.hpp"

#include <vector>

namespace balsampoint::memory {

/**
 * @brief Whether a holder may take more bytes.
 *
 * A small holder always may. A large one may while large holders have room, and
 * beyond that if it is the largest of its kind: it ends first, so that not all
 * of them wait for each other.
 * @param aState State of the thread.
 * @param aId Id of the holder; true if it is unknown.
 */
[[nodiscard]] bool
MayGrow(const State& aState, HolderId aId);

/**
 * @brief The paused holders that may be read again, as far as there is room for
 * one after the other.
 * @param aState State of the thread.
 */
[[nodiscard]] std::vector<HolderId>
FindResumable(const State& aState);

/**
 * @brief Whether `Relieve` may choose holders now or later without another
 * report.
 * @param aState State of the thread.
 */
[[nodiscard]] bool
NeedsRelief(const State& aState);

} // namespace balsampoint::memory
