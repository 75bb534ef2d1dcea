#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/fleet/state.hpp"

namespace balsampoint::fleet {

/**
 * @brief Tokens whose KV fits into the ready engines of a service.
 *
 * The sum over the engines is divided by the layers of the model, as if every
 * engine could be filled.
 * @param aState State to read.
 * @param aService The service.
 * @return Zero for an unknown service and for one without engines.
 */
[[nodiscard]] double
KvTokens(const State& aState, const ServiceId& aService);

} // namespace balsampoint::fleet
