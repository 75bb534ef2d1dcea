#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Applies, in order, all entries that are committed and durable on this
 * host, and requests a snapshot when enough entries were applied.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Receives the commands to apply and the answers.
 */
void
ApplyCommitted(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::consensus
