#pragma once

#include "balsampoint/orders/action.hpp"
#include "balsampoint/orders/event.hpp"
#include "balsampoint/orders/state.hpp"

#include <vector>

namespace balsampoint::orders {

/**
 * @brief Queues what somebody wants an engine to do.
 * @param aState The orders.
 * @param aSubmitted The wish; refused when this host holds no lease.
 * @param aNow The time.
 * @param aActions Receives the refusal.
 */
void
Submit(State& aState,
       const Submitted& aSubmitted,
       Instant aNow,
       std::vector<Action>& aActions);

/**
 * @brief Takes in an engine's answer.
 * @param aState The orders.
 * @param aAnswered The answer; without one the order stays open to its limit.
 * @param aActions Receives the result.
 */
void
TakeAnswer(State& aState,
           const Answered& aAnswered,
           std::vector<Action>& aActions);

/**
 * @brief Gives the orders that may go now and ends those past their limit.
 *
 * An engine has at most one open order. Engines that ignore fencing numbers
 * get none before the silence after the last holder is over, and none whose
 * lease could end before it is sent.
 * @param aState The orders.
 * @param aNow The time.
 * @param aActions Receives the orders and results.
 */
void
GiveOrders(State& aState, Instant aNow, std::vector<Action>& aActions);

} // namespace balsampoint::orders
