#pragma once

#include "balsampoint/usage/state.hpp"

namespace balsampoint::usage {

/**
 * @brief Sums up what entry hosts have in progress, for each of them.
 * @param aState State to change; reports that are too old are dropped.
 * @param aNow The time.
 * @param aActions Receives a message for each entry host.
 */
void
SumUp(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::usage
