#pragma once

#include "balsampoint/retry/state.hpp"

namespace balsampoint::retry {

/**
 * @brief Chooses a server for an attempt and counts the attempt as in flight.
 *
 * Takes the less loaded of two random servers, out of those of the own zone
 * while there are any. A leaving or ejected server is never chosen.
 * @param aState State to change.
 * @param aWanted The attempt.
 * @param aNow The time.
 * @return The server, or null when there is none.
 */
[[nodiscard]] const registry::Server*
ChooseServer(State& aState, const AttemptWanted& aWanted, Instant aNow);

/**
 * @brief Draws a random number.
 * @param aState State to change.
 * @return Uniformly distributed bits.
 */
[[nodiscard]] std::uint64_t
Draw(State& aState);

} // namespace balsampoint::retry
