#pragma once

#include "balsampoint/registry/state.hpp"

namespace balsampoint::registry {

/**
 * @brief Tells when the registry next has something to do by itself.
 * @param aState The registry.
 * @return The time, or `kNever`.
 */
[[nodiscard]] Instant
NextDeadline(const State& aState);

} // namespace balsampoint::registry
