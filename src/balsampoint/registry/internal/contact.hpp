#pragma once

#include "balsampoint/registry/state.hpp"

#include <vector>

namespace balsampoint::registry::internal {

/**
 * @brief Whether news of another host of the zone reach this one.
 * @param aState The registry.
 * @param aHost The host.
 * @param aNow The time.
 */
[[nodiscard]] bool
InReach(const State& aState, const HostId& aHost, Instant aNow);

/**
 * @brief Notes that a host was heard and shows its servers again.
 * @param aState The registry.
 * @param aHost The host; ignored if it is not one of the zone.
 * @param aHeardAt When it was heard.
 * @param aNow The time.
 */
void
NoteContact(State& aState, const HostId& aHost, Instant aHeardAt, Instant aNow);

/**
 * @brief Lists the hosts that lease servers and were not heard for long.
 * @param aState The registry.
 * @param aNow The time.
 * @return The hosts in order.
 */
[[nodiscard]] std::vector<HostId>
Doubted(const State& aState, Instant aNow);

} // namespace balsampoint::registry::internal
