#pragma once

#include "balsampoint/roster/state.hpp"

namespace balsampoint::roster {

/**
 * @brief Records a heartbeat that a server sent to this host; stale and
 * repeated ones are ignored.
 * @param aState State to change.
 * @param aHeartbeat Heartbeat as received.
 * @param aNow Current time.
 */
void
HandleHeartbeat(State& aState, const Heartbeat& aHeartbeat, Instant aNow);

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
 * @brief Marks a server as gone; unknown servers and older incarnations are
 * ignored.
 * @param aState State to change.
 * @param aSignedOff Server and incarnation that signed off.
 * @param aNow Current time.
 */
void
HandleSignedOff(State& aState, const SignedOff& aSignedOff, Instant aNow);

/**
 * @brief Marks servers without a heartbeat within the timeout as silent, and
 * drops silent and gone servers after the retention time.
 * @param aState State to change.
 * @param aNow Current time.
 */
void
ExpireHeartbeats(State& aState, Instant aNow);

} // namespace balsampoint::roster
