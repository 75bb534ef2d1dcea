#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace balsampoint::orders {

/** @brief Fixed values of one host. The times bound when an order can take
 * effect. */
struct Settings
{
  HostId self;
  Incarnation incarnation;
  /** Length of the lease. */
  Duration lease{ std::chrono::seconds{ 10 } };
  /** Interval of lease renewals. */
  Duration renewInterval{ std::chrono::seconds{ 3 } };
  /** Longest time from sending an order to the end of its effect. */
  Duration orderLimit{ std::chrono::seconds{ 120 } };
  /** Largest error of a host's clock rate, in parts per million. */
  std::int64_t clockErrorPpm{ 1000 };
  /** Largest number of orders that wait for an answer. */
  std::size_t maxOpen{ 64 };
  /** Time after which a grant or release that was not applied is proposed
   * again. */
  Duration proposeInterval{ std::chrono::seconds{ 2 } };
};

} // namespace balsampoint::orders
