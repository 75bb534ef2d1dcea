#pragma once

#include "balsampoint/fleet/state.hpp"

namespace balsampoint::fleet {

/**
 * @brief Forgets which servers broke connections or could not be connected to,
 * because it was this host that had no link to them.
 * @param aState State to change.
 */
void
ForgetFailures(State& aState);

} // namespace balsampoint::fleet
