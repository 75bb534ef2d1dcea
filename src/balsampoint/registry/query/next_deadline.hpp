#pragma once

#include "balsampoint/registry/state.hpp"

namespace balsampoint::registry {

/**
 * @brief Returns the earliest time at which a timer of the registry expires.
 * @param aState State to read.
 * @return Time of the next expiry, or `kNever` if there is none.
 */
[[nodiscard]] Instant
NextDeadline(const State& aState);

} // namespace balsampoint::registry
