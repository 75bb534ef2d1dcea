#pragma once

#include "balsampoint/roster/state.hpp"

#include <vector>

namespace balsampoint::roster::internal {

/**
 * @brief Whether a host has sent a message within the timeout.
 * @param aSource The host.
 * @param aTimeout The timeout.
 * @param aNow Current time.
 */
[[nodiscard]] bool
IsReachable(const Source& aSource, Duration aTimeout, Instant aNow);

/**
 * @brief Whether a host has left a subscription without an answer for too long.
 * @param aState State to read.
 * @param aSource The host.
 * @param aNow Current time.
 */
[[nodiscard]] bool
IsOverdue(const State& aState, const Source& aSource, Instant aNow);

/**
 * @brief Whether a relay passes on claims to this host: its messages arrive and
 * it reaches a control host.
 * @param aState State to read.
 * @param aRelay The relay.
 * @param aNow Current time.
 */
[[nodiscard]] bool
IsServing(const State& aState, const Relay& aRelay, Instant aNow);

/**
 * @brief Whether a relay has not answered for too long, answers without
 * reaching a control host, or has answered that it is no relay.
 * @param aState State to read.
 * @param aRelay The relay.
 * @param aNow Current time.
 */
[[nodiscard]] bool
IsLost(const State& aState, const Relay& aRelay, Instant aNow);

/**
 * @brief Relays that this entry host subscribes to, preferred ones first. The
 * preference differs between hosts, which spreads them over the relays.
 * @param aState State to read.
 * @param aNow Current time.
 */
[[nodiscard]] std::vector<HostId>
ChooseRelays(const State& aState, Instant aNow);

/**
 * @brief Control hosts whose claims reach this host, ordered by id.
 * @param aState State to read.
 * @param aNow Current time.
 */
[[nodiscard]] std::vector<HostId>
ReachableControls(const State& aState, Instant aNow);

/**
 * @brief Live relays of a zone, ordered by id: on a control host those that
 * subscribe to it, on a relay itself and its peers, on an entry host those that
 * serve it.
 * @param aState State to read.
 * @param aZone The zone; only a control host knows other zones than its own.
 * @param aNow Current time.
 */
[[nodiscard]] std::vector<HostAddress>
LiveRelays(const State& aState, const ZoneId& aZone, Instant aNow);

} // namespace balsampoint::roster::internal
