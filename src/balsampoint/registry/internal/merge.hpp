#pragma once

#include "balsampoint/registry/state.hpp"

namespace balsampoint::registry::internal {

/**
 * @brief Takes in another host's entry if its claim is higher.
 *
 * A loss is refuted when the server announced itself here within one lease.
 * @param aState The registry.
 * @param aEntry The entry.
 * @param aNow The time.
 */
void
Merge(State& aState, const Entry& aEntry, Instant aNow);

} // namespace balsampoint::registry::internal
