#pragma once

#include "balsampoint/fanout/state.hpp"

namespace balsampoint::fanout {

/**
 * @brief Tells when the host has something to do of its own accord.
 * @param aState State to read.
 * @return The time; `kNever` for none.
 */
[[nodiscard]] Instant
NextDeadline(const State& aState);

} // namespace balsampoint::fanout
