#pragma once

#include "balsampoint/placement/state.hpp"

namespace balsampoint::placement {

/**
 * @brief Takes over which engines there are.
 * @param aState State to change.
 * @param aView The servers.
 * @param aNow The time.
 */
void
FollowServers(State& aState, const roster::View& aView, Instant aNow);

/**
 * @brief Notes how an order ended.
 * @param aState State to change.
 * @param aEnded The order's end.
 * @param aNow The time.
 * @param aActions Receives a question where the outcome is open.
 */
void
TakeOrderEnd(State& aState,
             const OrderEnded& aEnded,
             Instant aNow,
             Actions& aActions);

/**
 * @brief Takes an engine's own word on its state.
 * @param aState State to change.
 * @param aReported The engine's word.
 */
void
TakeReport(State& aState, const Reported& aReported);

} // namespace balsampoint::placement
