#pragma once

#include "balsampoint/reach/proof.hpp"
#include "balsampoint/reach/state.hpp"

namespace balsampoint::reach {

/**
 * @brief Whether a check is due without a failed connection: the link is down,
 * a server doesn't acknowledge what was sent to it, requests wait while no
 * server sends a byte, or no new connection has shown for a while that the link
 * is up.
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
 * @brief Whether the kernel has to be asked if servers acknowledge what they
 * are sent: requests wait, and no server has sent a byte lately. A host whose
 * streams go on needs no system call for each of them.
 * @param aState State to read.
 * @param aNow Current time.
 */
[[nodiscard]] bool
NeedsAcknowledgements(const State& aState, Instant aNow);

/**
 * @brief What the connections of a check have to show. Acknowledgements take
 * time, so they are needed only where connections stand and pass nothing.
 * @param aState State to read.
 * @param aNow Current time.
 */
[[nodiscard]] Proof
NeededProof(const State& aState, Instant aNow);

/**
 * @brief Whether a check connects to all its servers at once, not to one first:
 * several servers are silent.
 * @param aState State to read.
 */
[[nodiscard]] bool
ChecksAllAtOnce(const State& aState);

/**
 * @brief Whether this host has shown lately that it reaches servers, so that
 * others may use it as a detour.
 * @param aState State to read.
 * @param aNow Current time.
 */
[[nodiscard]] bool
ReachesServers(const State& aState, Instant aNow);

} // namespace balsampoint::reach
