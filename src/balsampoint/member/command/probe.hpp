#pragma once

#include "balsampoint/member/action.hpp"
#include "balsampoint/member/state.hpp"

#include <vector>

namespace balsampoint::member {

/**
 * @brief Follows up the open probe and starts the next one when due.
 * @param aState The membership.
 * @param aNow The time.
 * @param aActions Receives what is to be sent.
 */
void
RunProbes(State& aState, Instant aNow, std::vector<Action>& aActions);

} // namespace balsampoint::member
