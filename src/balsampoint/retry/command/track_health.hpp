#pragma once

#include "balsampoint/retry/state.hpp"

namespace balsampoint::retry {

/**
 * @brief Records the result of an attempt; may eject its server.
 * @param aState State to change.
 * @param aEnded The attempt and its result.
 * @param aNow Current time.
 */
void
RecordAttempt(State& aState, const AttemptEnded& aEnded, Instant aNow);

/**
 * @brief Updates the live servers; new and restarted ones begin a slow start.
 * @param aState State to change.
 * @param aChanged The live servers.
 * @param aNow Current time.
 */
void
UpdateServers(State& aState, const ServersChanged& aChanged, Instant aNow);

} // namespace balsampoint::retry
