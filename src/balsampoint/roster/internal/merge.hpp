#pragma once

#include "balsampoint/roster/state.hpp"

namespace balsampoint::roster::internal {

/**
 * @brief Takes a claim over if it is newer than what is known.
 * @param aState State to change.
 * @param aClaim The claim.
 * @param aOwner Host that made it.
 * @param aNow The time.
 * @return Whether it was taken over.
 */
bool
Merge(State& aState, const Claim& aClaim, const HostId& aOwner, Instant aNow);

} // namespace balsampoint::roster::internal
