#pragma once

#include "balsampoint/fleet/state.hpp"

namespace balsampoint::fleet {

/**
 * @brief Estimates when a service that refused a request for lack of
 * capacity may accept it.
 *
 * A shortage is assumed to last for as long again as it has lasted, measured
 * from the last first event of any request. While all servers that receive
 * requests have a rate limit, the time is at least the one that they need for
 * what is refused in a second.
 * @param aState State to read.
 * @param aService Service that refused the request.
 * @param aNow Current time.
 * @return Time to wait, within the bounds of the settings.
 */
[[nodiscard]] Duration
RetryAfter(const State& aState, const ServiceId& aService, Instant aNow);

} // namespace balsampoint::fleet
