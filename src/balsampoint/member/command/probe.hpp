#pragma once

#include "balsampoint/member/action.hpp"
#include "balsampoint/member/state.hpp"

#include <vector>

namespace balsampoint::member {

/**
 * @brief Handles the timeout of the probe in progress and starts the next one
 * when due.
 * @param aState State of the module.
 * @param aNow Current time.
 * @param aActions Receives the messages.
 */
void
RunProbes(State& aState, Instant aNow, std::vector<Action>& aActions);

} // namespace balsampoint::member
