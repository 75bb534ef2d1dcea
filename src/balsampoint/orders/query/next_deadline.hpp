#pragma once

#include "balsampoint/orders/state.hpp"

namespace balsampoint::orders {

/**
 * @brief Tells when the orders next have something to do by themselves.
 * @param aState The orders.
 * @return The time, or `kNever`.
 */
[[nodiscard]] Instant
NextDeadline(const State& aState);

} // namespace balsampoint::orders
