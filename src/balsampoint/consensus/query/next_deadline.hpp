#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Time of the member's earliest pending timer.
 * @param aState State to read.
 * @return The time; `kNever` if no timer is pending.
 */
[[nodiscard]] Instant
NextDeadline(const State& aState);

} // namespace balsampoint::consensus
