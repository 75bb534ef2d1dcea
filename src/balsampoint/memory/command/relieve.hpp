#pragma once

#include "balsampoint/memory/state.hpp"

#include <vector>

namespace balsampoint::memory {

/**
 * @brief Chooses the holders that must release their bytes.
 *
 * While large holders have used up their part of the budget, those that have
 * stalled are chosen until the others have room again. Once all holders
 * together pass the budget, others are chosen as well: those whose request has
 * not run first, requests in progress last. Among equals the largest comes
 * first, then the one that has made no progress for longest. A small holder is
 * never chosen.
 * @param aState State to change: each holder is chosen once.
 * @param aNow Current time.
 * @return What to do, in this order.
 */
[[nodiscard]] std::vector<Action>
Relieve(State& aState, Instant aNow);

} // namespace balsampoint::memory
