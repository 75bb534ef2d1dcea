#pragma once

#include "balsampoint/retry/state.hpp"

namespace balsampoint::retry {

/**
 * @brief Takes in how an attempt ended; may eject its server.
 * @param aState State to change.
 * @param aEnded The attempt.
 * @param aNow The time.
 */
void
RecordAttempt(State& aState, const AttemptEnded& aEnded, Instant aNow);

/**
 * @brief Takes in the live servers; new and restarted ones start slowly.
 * @param aState State to change.
 * @param aChanged The servers.
 * @param aNow The time.
 */
void
UpdateServers(State& aState, const ServersChanged& aChanged, Instant aNow);

} // namespace balsampoint::retry
