#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Applies what is committed and durable here, in order.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Receives the commands to apply and the answers.
 */
void
ApplyCommitted(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::consensus
