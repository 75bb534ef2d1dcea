#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/orders/order.hpp"
#include "balsampoint/orders/table.hpp"

#include <tl/expected.hpp>
#include <variant>

namespace balsampoint::orders {

/** @brief Propose a command to the control group. */
struct Propose
{
  Command command;
};

/** @brief Send an order to its engine at once and close the exchange at the
 * limit. */
struct SendOrder
{
  Order order;
  /** Time after sending by which the order's effect must have ended. */
  Duration limit{};
};

/** @brief Report the result of a submitted order. */
struct Finished
{
  Ticket ticket;
  /** Empty if the order was refused before it was sent. */
  OrderId id;
  tl::expected<Outcome, Error> result;
};

/** @brief Actions that the daemon performs for the module. */
using Action = std::variant<Propose, SendOrder, Finished>;

} // namespace balsampoint::orders
