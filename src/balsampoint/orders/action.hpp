#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/orders/order.hpp"
#include "balsampoint/orders/table.hpp"

#include <tl/expected.hpp>
#include <variant>

namespace balsampoint::orders {

/** @brief Hands a command to the control group. */
struct Propose
{
  Command command;
};

/** @brief Sends an order to its engine at once and closes by the limit. */
struct Give
{
  Order order;
  /** Time within which all must have ended, the engine's work included. */
  Duration limit{};
};

/** @brief Answers whoever wanted an order. */
struct Finished
{
  Ticket ticket;
  OrderId id;
  tl::expected<Outcome, Error> result;
};

/** @brief What the orders ask their adapters to do. */
using Action = std::variant<Propose, Give, Finished>;

} // namespace balsampoint::orders
