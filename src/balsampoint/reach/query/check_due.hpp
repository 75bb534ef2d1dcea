#pragma once

#include "balsampoint/reach/state.hpp"

namespace balsampoint::reach {

/**
 * @brief Whether a check is due without a failed connection: the link is down,
 * or no new connection has shown for a while that it is up.
 * @param aState State to read.
 * @param aNow Current time.
 */
[[nodiscard]] bool
IsCheckDue(const State& aState, Instant aNow);

/**
 * @brief Whether a failed connection may start a check.
 * @param aState State to read.
 * @param aNow Current time.
 */
[[nodiscard]] bool
MayCheck(const State& aState, Instant aNow);

/**
 * @brief Whether this host has shown lately that it reaches servers, so that
 * others may use it as a detour.
 * @param aState State to read.
 * @param aNow Current time.
 */
[[nodiscard]] bool
ReachesServers(const State& aState, Instant aNow);

} // namespace balsampoint::reach
