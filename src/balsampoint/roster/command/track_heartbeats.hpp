#pragma once

#include "balsampoint/roster/state.hpp"

namespace balsampoint::roster {

/**
 * @brief Records a heartbeat that a server sent to this host; stale and
 * repeated ones change nothing.
 * @param aState State to change.
 * @param aHeartbeat Heartbeat as received.
 * @param aNow Current time.
 * @param aActions The answer to a server that leaves is appended to it.
 */
void
HandleHeartbeat(State& aState,
                const Heartbeat& aHeartbeat,
                Instant aNow,
                Actions& aActions);

/**
 * @brief Advertises this host's claim again when another control host
 * advertises an older one that subscribers would prefer to what they were
 * last sent.
 * @param aState State to change.
 * @param aClaim Claim received from the other control host.
 * @param aNow Current time.
 */
void
ReadvertiseClaim(State& aState, const Claim& aClaim, Instant aNow);

/**
 * @brief Marks an incarnation of a server as gone, whether the server is known
 * or not; older incarnations are ignored. The sign-off of an unknown server
 * that names no incarnation is refused.
 * @param aState State to change.
 * @param aSignedOff Server and incarnation that signed off.
 * @param aNow Current time.
 * @param aActions The answer is appended to it.
 */
void
HandleSignedOff(State& aState,
                const SignedOff& aSignedOff,
                Instant aNow,
                Actions& aActions);

/**
 * @brief Marks servers without a heartbeat within the timeout as silent, and
 * drops silent and gone servers after the retention time.
 * @param aState State to change.
 * @param aNow Current time.
 */
void
ExpireHeartbeats(State& aState, Instant aNow);

} // namespace balsampoint::roster
