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
  /** Whether the engine refuses orders with an old fencing number. */
  bool checksFencing{ false };
  /** Time by which its effect must have ended; `kNever` before it is sent. */
  Instant deadline{ kNever };
};

/** @brief The lease of this host. */
struct Lease
{
  /** Fencing number of the lease; zero if this host holds none. */
  FencingNumber fencing;
  /** Time from which this host sends no more orders. */
  Instant end{};
  /** Time from which engines that ignore fencing numbers may get orders. */
  Instant takeoverDelayEnd{};
  /** Number of the renewal proposed last. */
  std::uint64_t proposedRenewal{};
  /** When that renewal was first proposed. */
  Instant renewalProposedAt{};
  /** When the next renewal is proposed. */
  Instant renewAt{};
  /** Whether a release was proposed; no more orders are sent after it. */
  bool releasing{ false };

  /** @brief Whether this host holds a lease. */
  [[nodiscard]] bool Held() const noexcept
  {
    return fencing != FencingNumber{};
  }
};

/** @brief State of the module on one host; owned by the control thread. */
struct State
{
  Settings settings;
  /** Whether this host tries to hold the lease. */
  bool candidate{ false };
  /** The replicated lease. */
  Table table;
  /** When the table last changed on this host; `kNever` before the first
   * event or tick. */
  Instant changedAt{ kNever };
  Lease lease;
  /** When the lease was first requested since the table changed; `kNever` if
   * it was not. */
  Instant grantRequestedAt{ kNever };
  /** Earliest time of the next grant or release proposal; `kNever` if none is
   * scheduled. */
  Instant proposeAt{ kNever };
  /** Orders not sent yet, in the order of their submission. */
  std::deque<OpenOrder> queued;
  /** Orders sent that have not ended. */
  std::map<OrderId, OpenOrder> open;
  /** When a queued order may be sent; `kNever` if none waits for a time. */
  Instant sendAt{ kNever };
  /** Number of the last order sent; the last part of its id. */
  std::uint64_t lastOrderNumber{};
};

} // namespace balsampoint::orders
