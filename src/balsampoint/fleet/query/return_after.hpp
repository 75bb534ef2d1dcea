#pragma once

#include "balsampoint/fleet/state.hpp"

namespace balsampoint::fleet {

/**
 * @brief Estimates when a service that has no room for a request may have some.
 *
 * A shortage is taken to last about as long again as it has lasted, which is
 * the time since a request last began to write.
 * @param aState State to read.
 * @param aService The service.
 * @param aNow The time.
 * @return Time from now, within the bounds of the settings.
 */
[[nodiscard]] Duration
ReturnAfter(const State& aState, const ServiceId& aService, Instant aNow);

} // namespace balsampoint::fleet
