#pragma once

#include "balsampoint/roster/state.hpp"

namespace balsampoint::roster {

/**
 * @brief Notes a heartbeat that a server sent to this host.
 * @param aState State to change.
 * @param aHeartbeat The heartbeat.
 * @param aNow The time.
 */
void
HandleHeartbeat(State& aState, const Heartbeat& aHeartbeat, Instant aNow);

/**
 * @brief Notes that a server leaves.
 * @param aState State to change.
 * @param aSignedOff The server.
 * @param aNow The time.
 */
void
HandleSignedOff(State& aState, const SignedOff& aSignedOff, Instant aNow);

/**
 * @brief Marks servers that have sent no heartbeat for too long.
 * @param aState State to change.
 * @param aNow The time.
 */
void
NoteSilence(State& aState, Instant aNow);

} // namespace balsampoint::roster
