#pragma once

#include "balsampoint/orders/order.hpp"
#include "balsampoint/orders/table.hpp"

#include <variant>

namespace balsampoint::orders {

/** @brief This host shall try to hold the lease, or shall give it up. */
struct Candidacy
{
  bool wanted{ false };
};

/** @brief The control group applied a command. */
struct Applied
{
  Command command;
};

/** @brief The table was replaced by a snapshot of the control group. */
struct Restored
{
  Table table;
};

/** @brief Somebody wants an engine to do something; `Finished` follows. */
struct Submitted
{
  Ticket ticket;
  ServerId server;
  bool checksFencing{ false };
  Task task;
};

/** @brief An engine answered an order. */
struct Answered
{
  OrderId id;
  /** `Unknown` when the connection broke before an answer. */
  Outcome outcome{};
};

/** @brief What the orders react to. */
using Event = std::variant<Candidacy, Applied, Restored, Submitted, Answered>;

} // namespace balsampoint::orders
