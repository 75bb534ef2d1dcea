#pragma once

#include "balsampoint/fanout/in_force.hpp"
#include "balsampoint/fanout/state.hpp"

namespace balsampoint::fanout::internal {

/**
 * @brief Describes the configurations in force on the hosts of the directory.
 * @param aState State of the leader; the directory is empty on other hosts.
 * @param aNow The current time.
 * @return The description.
 */
[[nodiscard]] InForce
Describe(const State& aState, Instant aNow);

} // namespace balsampoint::fanout::internal
