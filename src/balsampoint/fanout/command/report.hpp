#pragma once

#include "balsampoint/fanout/state.hpp"

namespace balsampoint::fanout {

/**
 * @brief Reports this host and the changed hosts below it to the parent; all
 * hosts below it if a full report is due. The leader updates its directory.
 * @param aState State to change.
 * @param aNow The current time.
 * @param aActions The message is appended here.
 */
void
SendReport(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Records the report of a child and sends it the updates that it lacks.
 * @param aState State to change.
 * @param aFrom The child.
 * @param aReport The report; ignored if its first host isn't the child.
 * @param aNow The current time.
 * @param aActions Actions are appended here.
 */
void
HandleReport(State& aState,
             const HostId& aFrom,
             const Report& aReport,
             Instant aNow,
             Actions& aActions);

/**
 * @brief Sends heartbeats to the children and a report to the parent, and
 * removes lost hosts.
 * @param aState State to change.
 * @param aNow The current time.
 * @param aActions Messages are appended here.
 */
void
SendHeartbeats(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::fanout
