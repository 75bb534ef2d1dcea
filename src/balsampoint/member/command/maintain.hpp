#pragma once

#include "balsampoint/member/action.hpp"
#include "balsampoint/member/state.hpp"

#include <vector>

namespace balsampoint::member {

/**
 * @brief Runs the periodic tasks: joins through seeds, marks suspects dead,
 * forgets dead hosts and compares digests.
 * @param aState State of the module.
 * @param aNow Current time.
 * @param aActions Receives the messages.
 */
void
Maintain(State& aState, Instant aNow, std::vector<Action>& aActions);

/**
 * @brief Notifies the own zone at once that this host stops.
 * @param aState State of the module.
 * @param aNow Current time.
 * @param aActions Receives the messages.
 */
void
LeaveCluster(State& aState, Instant aNow, std::vector<Action>& aActions);

} // namespace balsampoint::member
