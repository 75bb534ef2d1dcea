#pragma once

#include "balsampoint/orders/order.hpp"
#include "balsampoint/orders/settings.hpp"
#include "balsampoint/orders/table.hpp"

#include <deque>
#include <map>

namespace balsampoint::orders {

/** @brief An order that has not ended. */
struct OpenOrder
{
  Order order;
  Ticket ticket;
  /** Whether the engine refuses old fencing numbers. */
  bool checksFencing{ false };
  /** Time by which its effect must have ended; `kNever` before sending. */
  Instant deadline{ kNever };
};

/** @brief The present lease; without a number if this host holds none. */
struct Lease
{
  FencingNumber fencing;
  /** From then on this host gives no order. */
  Instant end{};
  /** From then on it may order engines that ignore fencing numbers. */
  Instant quietUntil{};
  /** Number of the renewal asked last, and when it was first asked. */
  std::uint64_t askedRenewal{};
  Instant askedAt{};
  Instant renewAt{};
  /** Whether a release is under way, after which nothing may be given. */
  bool releasing{ false };

  /** @brief Whether this host holds a lease. */
  [[nodiscard]] bool Held() const noexcept
  {
    return fencing != FencingNumber{};
  }
};

/** @brief Orders and their lease as one host sees them. */
struct State
{
  Settings settings;
  /** Whether this host wants to be the one that gives orders. */
  bool candidate{ false };
  Table table;
  /** When the table last changed here; `kNever` before the first look. */
  Instant changedAt{ kNever };
  Lease lease;
  /** When the lease was first asked for since the table changed. */
  Instant grantAskedAt{ kNever };
  Instant proposeAt{ kNever };
  /** Orders that wait to be given. */
  std::deque<OpenOrder> waiting;
  /** Orders given that have not ended. */
  std::map<OrderId, OpenOrder> open;
  /** When a waiting order may go; `kNever` if that depends on no time. */
  Instant giveAt{ kNever };
  std::uint64_t ordersMade{};
};

} // namespace balsampoint::orders
