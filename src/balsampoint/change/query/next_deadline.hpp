#pragma once

#include "balsampoint/change/state.hpp"

namespace balsampoint::change {

/**
 * @brief Time at which the next pending change must be retried or abandoned.
 * @param aState State to read.
 * @return The time; `kNever` if no change is pending.
 */
[[nodiscard]] Instant
NextDeadline(const State& aState);

} // namespace balsampoint::change
