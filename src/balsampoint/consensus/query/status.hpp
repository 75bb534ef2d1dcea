#pragma once

#include "balsampoint/consensus/state.hpp"
#include "balsampoint/consensus/status.hpp"

namespace balsampoint::consensus {

/**
 * @brief Returns the status of the group as this member knows it.
 * @param aState State to read.
 * @param aNow Current time.
 * @return The status.
 */
[[nodiscard]] Status
Describe(const State& aState, Instant aNow);

} // namespace balsampoint::consensus
