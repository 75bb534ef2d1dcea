#pragma once

#include "balsampoint/registry/state.hpp"
#include "balsampoint/registry/view.hpp"

namespace balsampoint::registry {

/**
 * @brief Copies the live servers for traffic threads.
 * @param aState The registry.
 * @return The servers in the order of their ids.
 */
[[nodiscard]] View
MakeView(const State& aState);

} // namespace balsampoint::registry
