#pragma once

#include "balsampoint/retry/state.hpp"

namespace balsampoint::retry {

/**
 * @brief Chooses a server for an attempt and counts the attempt as in flight.
 *
 * Picks the less loaded of two random servers of this host's zone, or of all
 * zones if that zone has none. Servers that are not ready, are ejected or have
 * failed the call are never chosen.
 * @param aState State to change.
 * @param aRequested The requested attempt.
 * @param aNow Current time.
 * @return The server; null if none is usable.
 */
[[nodiscard]] const registry::Server*
ChooseServer(State& aState, const AttemptRequested& aRequested, Instant aNow);

/**
 * @brief Generates a random number.
 * @param aState State to change.
 * @return Uniformly distributed bits.
 */
[[nodiscard]] std::uint64_t
NextRandom(State& aState);

} // namespace balsampoint::retry
