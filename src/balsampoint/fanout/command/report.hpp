#pragma once

#include "balsampoint/fanout/state.hpp"

namespace balsampoint::fanout {

/**
 * @brief Reports this host and what changed below it to the parent.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Receives the message.
 */
void
SendReport(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Notes what a child reports and sends it what it lacks.
 * @param aState State to change.
 * @param aFrom The child.
 * @param aReport Its report.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleReport(State& aState,
             const HostId& aFrom,
             const Report& aReport,
             Instant aNow,
             Actions& aActions);

/**
 * @brief Sends the children heartbeats and drops those that left.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Receives the messages.
 */
void
Beat(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::fanout
