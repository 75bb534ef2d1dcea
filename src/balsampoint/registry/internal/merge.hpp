#pragma once

#include "balsampoint/registry/state.hpp"

namespace balsampoint::registry::internal {

/**
 * @brief Stores another host's entry if its claim is higher than the stored
 * one.
 *
 * A reported loss is refuted, by a new claim of this host, if the server
 * announced itself to this host within one lease.
 * @param aState State to change.
 * @param aEntry Entry as received.
 * @param aNow Current time.
 */
void
Merge(State& aState, const Entry& aEntry, Instant aNow);

} // namespace balsampoint::registry::internal
