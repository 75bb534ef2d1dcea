#pragma once

#include "balsampoint/reach/state.hpp"

#include <cstdint>
#include <optional>

namespace balsampoint::reach {

/** @brief Whether this host needs detours and knows any. */
[[nodiscard]] bool
UsesDetours(const State& aState, Instant aNow);

/**
 * @brief Whether new connections to servers are in vain: the link is down, and
 * no host that reaches servers has become known for a while.
 * @param aState State to read.
 * @param aNow Current time.
 */
[[nodiscard]] bool
IsIsolated(const State& aState, Instant aNow);

/**
 * @brief Chooses the host that opens the next connection to a server.
 *
 * Hosts of the own zone come first, then those of the server's zone. Of two
 * that are drawn, the one with fewer connections of this host is taken.
 * @param aState State to read.
 * @param aServerZone Zone of the server; empty if unknown.
 * @param aRandom Random number.
 * @param aNow Current time.
 * @return The host; nothing if the server is to be connected to directly.
 */
[[nodiscard]] std::optional<Detour>
ChooseDetour(const State& aState,
             const ZoneId& aServerZone,
             std::uint64_t aRandom,
             Instant aNow);

} // namespace balsampoint::reach
