#pragma once

#include "balsampoint/registry/action.hpp"
#include "balsampoint/registry/state.hpp"

#include <vector>

namespace balsampoint::registry {

/**
 * @brief Sends what is due to other hosts.
 * @param aState The registry.
 * @param aNow The time.
 * @param aActions Receives the messages.
 */
void
Flush(State& aState, Instant aNow, std::vector<Action>& aActions);

} // namespace balsampoint::registry
