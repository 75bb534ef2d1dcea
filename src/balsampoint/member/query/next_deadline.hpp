#pragma once

#include "balsampoint/member/state.hpp"

namespace balsampoint::member {

/**
 * @brief Time of the earliest pending timer.
 * @param aState State of the module.
 * @return The time.
 */
[[nodiscard]] Instant
NextDeadline(const State& aState);

} // namespace balsampoint::member
