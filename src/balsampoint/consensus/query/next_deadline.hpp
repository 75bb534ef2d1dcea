#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Tells when the member has something to do of its own accord.
 * @param aState State to read.
 * @return The time; `kNever` for none.
 */
[[nodiscard]] Instant
NextDeadline(const State& aState);

} // namespace balsampoint::consensus
