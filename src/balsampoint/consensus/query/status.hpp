#pragma once

#include "balsampoint/consensus/state.hpp"
#include "balsampoint/consensus/status.hpp"

namespace balsampoint::consensus {

/**
 * @brief Describes the group.
 * @param aState State to read.
 * @param aNow The time.
 * @return What this member knows.
 */
[[nodiscard]] Status
Describe(const State& aState, Instant aNow);

} // namespace balsampoint::consensus
