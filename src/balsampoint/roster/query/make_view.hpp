#pragma once

#include "balsampoint/roster/state.hpp"

namespace balsampoint::roster {

/**
 * @brief Makes the view of the servers as they are believed to be now.
 * @param aState State to read.
 * @param aNow The time.
 * @return The view.
 */
[[nodiscard]] View
MakeView(const State& aState, Instant aNow);

} // namespace balsampoint::roster
