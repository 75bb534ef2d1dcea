#pragma once

#include "balsampoint/orders/state.hpp"

namespace balsampoint::orders {

/**
 * @brief Returns when the module's next timer is due.
 * @param aState State to read.
 * @return The time, or `kNever` if nothing is scheduled.
 */
[[nodiscard]] Instant
NextDeadline(const State& aState);

} // namespace balsampoint::orders
