#pragma once

#include "balsampoint/fleet/state.hpp"
#include "balsampoint/usage/message.hpp"

namespace balsampoint::fleet {

/**
 * @brief Takes over what other hosts have in progress.
 * @param aState State to change.
 * @param aOthers Their work.
 */
void
TakeOthers(State& aState, const usage::OthersUse& aOthers);

} // namespace balsampoint::fleet
