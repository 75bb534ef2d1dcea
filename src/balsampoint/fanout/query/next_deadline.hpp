#pragma once

#include "balsampoint/fanout/state.hpp"

namespace balsampoint::fanout {

/**
 * @brief Returns when the module's next timer is due.
 * @param aState State to read.
 * @return The time, or `kNever` if nothing is scheduled.
 */
[[nodiscard]] Instant
NextDeadline(const State& aState);

} // namespace balsampoint::fanout
