#pragma once

#include "balsampoint/registry/state.hpp"

namespace balsampoint::registry::internal {

/**
 * @brief Returns the time between two broadcasts of loads.
 * @param aState State of the registry.
 * @return The interval; it grows with the number of hosts in the zone.
 */
[[nodiscard]] Duration
LoadBroadcastInterval(const State& aState);

/**
 * @brief Queues a changed record for the zone's hosts and for the next view.
 * @param aState State of the registry.
 * @param aServer Server that changed.
 * @param aNow Current time.
 */
void
MarkChanged(State& aState, const ServerId& aServer, Instant aNow);

/**
 * @brief Queues the load of a server that this host leases for the zone's
 * hosts.
 * @param aState State of the registry.
 * @param aServer Server to report.
 * @param aNow Current time.
 */
void
MarkLoad(State& aState, const ServerId& aServer, Instant aNow);

/**
 * @brief Queues a renewal for the host that leases the server.
 * @param aState State of the registry.
 * @param aServer Server to report.
 * @param aNow Current time.
 */
void
MarkRenewal(State& aState, const ServerId& aServer, Instant aNow);

/**
 * @brief Schedules the publication of a view; of several times the earliest
 * holds.
 * @param aState State of the registry.
 * @param aDue Latest time for the publication.
 */
void
ScheduleView(State& aState, Instant aDue);

/**
 * @brief Makes this host the owner of the lease, with a new version of the
 * claim.
 * @param aState State of the registry.
 * @param aRecord Record of the server.
 * @param aNow Current time.
 */
void
TakeLease(State& aState, Record& aRecord, Instant aNow);

/**
 * @brief Whether the server announced itself to this host within one lease.
 * @param aState State of the registry.
 * @param aRecord Record of the server.
 * @param aNow Current time.
 */
[[nodiscard]] bool
AnnouncedRecently(const State& aState, const Record& aRecord, Instant aNow);

} // namespace balsampoint::registry::internal
