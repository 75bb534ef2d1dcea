#pragma once

#include "balsampoint/fanout/in_force.hpp"
#include "balsampoint/fanout/state.hpp"

namespace balsampoint::fanout::internal {

/**
 * @brief Lists the hosts and what they have in force.
 * @param aState State of the leader; other hosts know only themselves.
 * @param aNow The time.
 * @return The list.
 */
[[nodiscard]] InForce
Describe(const State& aState, Instant aNow);

} // namespace balsampoint::fanout::internal
