#pragma once

#include "balsampoint/registry/state.hpp"

namespace balsampoint::registry::internal {

/**
 * @brief Gives the time between two broadcasts of loads.
 * @param aState The registry.
 * @return The time; it grows with the zone.
 */
[[nodiscard]] Duration
LoadBroadcastInterval(const State& aState);

/**
 * @brief Queues a changed record for the zone and for the next view.
 * @param aState The registry.
 * @param aServer The changed server.
 * @param aNow The time.
 */
void
MarkChanged(State& aState, const ServerId& aServer, Instant aNow);

/**
 * @brief Queues an own record's load for the zone.
 * @param aState The registry.
 * @param aServer The server.
 * @param aNow The time.
 */
void
MarkLoad(State& aState, const ServerId& aServer, Instant aNow);

/**
 * @brief Queues a renewal for the host that leases.
 * @param aState The registry.
 * @param aServer The server.
 * @param aNow The time.
 */
void
MarkRenewal(State& aState, const ServerId& aServer, Instant aNow);

/**
 * @brief Asks for a view, at once or gathered with other changes of load.
 * @param aState The registry.
 * @param aDue When the view is due at the latest.
 */
void
WantView(State& aState, Instant aDue);

/**
 * @brief Makes this host the one that leases.
 * @param aState The registry.
 * @param aRecord The record.
 * @param aNow The time.
 */
void
TakeOver(State& aState, Record& aRecord, Instant aNow);

/**
 * @brief Whether the server announced itself here within one lease.
 * @param aState The registry.
 * @param aRecord The record.
 * @param aNow The time.
 */
[[nodiscard]] bool
HeardLately(const State& aState, const Record& aRecord, Instant aNow);

} // namespace balsampoint::registry::internal
