#pragma once

#include "balsampoint/fleet/state.hpp"

namespace balsampoint::fleet::internal {

/**
 * @brief Whether this host has used up its share of the link between zones.
 *
 * The link passes one transfer after the other: once it is full, every chain
 * through two zones pauses for longer than its callers wait.
 * @param aState State to read.
 * @param aGroup Servers of the service.
 * @param aEngine Profile of the service's engines.
 * @param aNow Current time.
 * @return False if the profile doesn't say how much the link carries.
 */
[[nodiscard]] bool
IsZoneLinkUsedUp(const State& aState,
                 const Group& aGroup,
                 const routing::EngineProfile& aEngine,
                 Instant aNow);

} // namespace balsampoint::fleet::internal
