#pragma once

#include "balsampoint/change/state.hpp"

namespace balsampoint::change {

/**
 * @brief Tells when a waiting change is to be tried again or given up.
 * @param aState State to read.
 * @return The time; `kNever` for none.
 */
[[nodiscard]] Instant
NextDeadline(const State& aState);

} // namespace balsampoint::change
