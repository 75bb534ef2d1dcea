#pragma once

#include "balsampoint/member/state.hpp"

namespace balsampoint::member {

/**
 * @brief Tells when the membership next has something to do by itself.
 * @param aState The membership.
 * @return The time.
 */
[[nodiscard]] Instant
NextDeadline(const State& aState);

} // namespace balsampoint::member
