#pragma once

#include "balsampoint/registry/state.hpp"

#include <vector>

namespace balsampoint::registry::internal {

/**
 * @brief Whether this host has had direct or indirect contact with another
 * host of the zone within the timeouts.
 * @param aState State of the registry.
 * @param aHost Other host of the zone.
 * @param aNow Current time.
 */
[[nodiscard]] bool
IsReachable(const State& aState, const HostId& aHost, Instant aNow);

/**
 * @brief Records contact with a host; if it becomes reachable, its hidden
 * servers become visible again.
 * @param aState State of the registry.
 * @param aHost Host; ignored unless it is a reachable member of the zone.
 * @param aContactAt Time of the contact.
 * @param aNow Current time.
 */
void
RecordContact(State& aState,
              const HostId& aHost,
              Instant aContactAt,
              Instant aNow);

/**
 * @brief Lists the hosts that lease servers and with which contact is
 * overdue.
 * @param aState State of the registry.
 * @param aNow Current time.
 * @return Hosts in the order of their ids.
 */
[[nodiscard]] std::vector<HostId>
OverdueHosts(const State& aState, Instant aNow);

} // namespace balsampoint::registry::internal
