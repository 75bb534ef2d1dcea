#pragma once

#include "balsampoint/roster/state.hpp"

namespace balsampoint::roster::internal {

/**
 * @brief Stores a claim if it is newer than the stored one.
 * @param aState State to change.
 * @param aClaim Claim to merge.
 * @param aOwner Control host that made the claim.
 * @param aNow Current time.
 * @return Whether the claim was stored.
 */
bool
Merge(State& aState, const Claim& aClaim, const HostId& aOwner, Instant aNow);

} // namespace balsampoint::roster::internal
