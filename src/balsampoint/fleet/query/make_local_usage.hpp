#pragma once

#include "balsampoint/fleet/state.hpp"
#include "balsampoint/usage/message.hpp"

namespace balsampoint::fleet {

/**
 * @brief Lists the work that this thread has in progress on each server.
 * @param aState State to read.
 */
[[nodiscard]] usage::LocalUsage
MakeLocalUsage(const State& aState);

} // namespace balsampoint::fleet
