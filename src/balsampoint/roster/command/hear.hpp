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
 * @brief Claims a server again that another host claims with an older stamp
 * than this host has heard since; hosts may believe the other one.
 * @param aState State to change.
 * @param aClaim The other host's claim.
 * @param aNow The time.
 */
void
ClaimAgain(State& aState, const Claim& aClaim, Instant aNow);

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
