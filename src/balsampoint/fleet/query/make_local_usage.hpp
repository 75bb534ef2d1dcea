#pragma once

#include "balsampoint/fleet/state.hpp"
#include "balsampoint/usage/message.hpp"

namespace balsampoint::fleet {

/**
 * @brief Lists the work that this thread has in progress on each server, what
 * servers have said of their rates, and the demand for their services.
 * @param aState State to read.
 * @param aNow Current time.
 */
[[nodiscard]] usage::LocalUsage
MakeLocalUsage(const State& aState, Instant aNow);

} // namespace balsampoint::fleet
