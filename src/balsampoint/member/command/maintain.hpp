#pragma once

#include "balsampoint/member/action.hpp"
#include "balsampoint/member/state.hpp"

#include <vector>

namespace balsampoint::member {

/**
 * @brief Joins by seeds, ends suspicions, compares lists and forgets the dead.
 * @param aState The membership.
 * @param aNow The time.
 * @param aActions Receives what is to be sent.
 */
void
Maintain(State& aState, Instant aNow, std::vector<Action>& aActions);

/**
 * @brief Tells the own zone at once that this host stops.
 * @param aState The membership.
 * @param aNow The time.
 * @param aActions Receives what is to be sent.
 */
void
LeaveCluster(State& aState, Instant aNow, std::vector<Action>& aActions);

} // namespace balsampoint::member
