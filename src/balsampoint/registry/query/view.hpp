#pragma once

#include "balsampoint/registry/state.hpp"
#include "balsampoint/registry/view.hpp"

namespace balsampoint::registry {

/**
 * @brief Builds the view of visible servers and other zones for traffic
 * threads.
 * @param aState State to read.
 * @return View to publish; servers are in the order of their ids.
 */
[[nodiscard]] View
MakeView(const State& aState);

} // namespace balsampoint::registry
