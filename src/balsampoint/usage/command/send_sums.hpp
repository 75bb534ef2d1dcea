#pragma once

#include "balsampoint/usage/state.hpp"

namespace balsampoint::usage {

/**
 * @brief Sends each entry host the sum of the work that the other entry
 * hosts have in progress.
 * @param aState State to change; expired reports are dropped.
 * @param aNow Current time.
 * @param aActions A message for each entry host is appended to it.
 */
void
SendSums(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::usage
