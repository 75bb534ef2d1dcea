#pragma once

#include "balsampoint/orders/action.hpp"
#include "balsampoint/orders/event.hpp"
#include "balsampoint/orders/state.hpp"

#include <vector>

namespace balsampoint::orders {

/**
 * @brief Queues an order.
 * @param aState State to change.
 * @param aSubmitted The request; refused if this host holds no lease.
 * @param aNow The current time.
 * @param aActions A refusal is appended here.
 */
void
Submit(State& aState,
       const Submitted& aSubmitted,
       Instant aNow,
       std::vector<Action>& aActions);

/**
 * @brief Handles an engine's answer.
 * @param aState State to change.
 * @param aAnswered The answer. With `Outcome::Unknown` the order stays open
 * until its deadline.
 * @param aActions The result is appended here.
 */
void
HandleAnswer(State& aState,
             const Answered& aAnswered,
             std::vector<Action>& aActions);

/**
 * @brief Sends the queued orders that may be sent now and ends the open ones
 * past their deadline.
 *
 * An engine has at most one open order. An engine that ignores fencing numbers
 * gets none before all orders of the previous holder must have ended. Nothing
 * is sent after the end of the lease.
 * @param aState State to change.
 * @param aNow The current time.
 * @param aActions Orders and results are appended here.
 */
void
SendQueuedOrders(State& aState, Instant aNow, std::vector<Action>& aActions);

} // namespace balsampoint::orders
