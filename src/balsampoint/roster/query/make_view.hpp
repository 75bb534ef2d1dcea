#pragma once

#include "balsampoint/roster/state.hpp"

namespace balsampoint::roster {

/**
 * @brief Builds the view of all servers that have not signed off.
 * @param aState State to read.
 * @param aNow Current time.
 * @return View to publish.
 */
[[nodiscard]] View
MakeView(const State& aState, Instant aNow);

} // namespace balsampoint::roster
