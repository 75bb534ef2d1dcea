#pragma once

#include "balsampoint/registry/action.hpp"
#include "balsampoint/registry/state.hpp"

#include <vector>

namespace balsampoint::registry {

/**
 * @brief Sends the queued messages to other hosts that are due.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Messages to send are appended to it.
 */
void
Flush(State& aState, Instant aNow, std::vector<Action>& aActions);

} // namespace balsampoint::registry
