#pragma once

#include "balsampoint/placement/state.hpp"

namespace balsampoint::placement {

/**
 * @brief Updates the engines from the roster; an engine that restarted is
 * treated as new.
 * @param aState State to change.
 * @param aView Servers from the roster.
 * @param aNow Current time.
 */
void
FollowServers(State& aState, const roster::View& aView, Instant aNow);

/**
 * @brief Applies the outcome of an order to its engine.
 * @param aState State to change.
 * @param aEnded Outcome of the order.
 * @param aNow Current time.
 * @param aActions A request for the engine's report is appended to it unless
 * the order was accepted.
 */
void
ApplyOrderEnd(State& aState,
              const OrderEnded& aEnded,
              Instant aNow,
              Actions& aActions);

/**
 * @brief Applies the state that an engine has reported.
 * @param aState State to change.
 * @param aReported State as reported.
 */
void
ApplyReport(State& aState, const Reported& aReported);

} // namespace balsampoint::placement
