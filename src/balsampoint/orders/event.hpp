#pragma once

#include "balsampoint/orders/order.hpp"
#include "balsampoint/orders/table.hpp"

#include <variant>

namespace balsampoint::orders {

/** @brief Sets whether this host tries to hold the lease. */
struct Candidacy
{
  /** True to request and renew the lease, false to release it. */
  bool wanted{ false };
};

/** @brief The control group committed a command; delivered in log order. */
struct Applied
{
  Command command;
};

/** @brief A snapshot of the control group replaces the table. */
struct Restored
{
  Table table;
};

/** @brief Requests an order to an engine; answered by `Finished`. */
struct Submitted
{
  Ticket ticket;
  ServerId server;
  /** Whether the engine refuses orders with an old fencing number. */
  bool checksFencing{ false };
  Task task;
};

/** @brief An order was answered, or its connection broke. */
struct Answered
{
  OrderId id;
  /** `Unknown` if the connection broke before an answer arrived. */
  Outcome outcome{};
};

/** @brief Events of the module. */
using Event = std::variant<Candidacy, Applied, Restored, Submitted, Answered>;

} // namespace balsampoint::orders
