#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace balsampoint::orders {

/** @brief Times that bound when an order can take effect. */
struct Settings
{
  HostId self;
  Incarnation incarnation;
  /** Length of the lease. */
  Duration lease{ std::chrono::seconds{ 10 } };
  /** Time between two renewals. */
  Duration renewInterval{ std::chrono::seconds{ 3 } };
  /** Longest time from the sending of an order to the end of its effect. */
  Duration orderLimit{ std::chrono::seconds{ 120 } };
  /** Largest error of a host's clock rate, in parts of a million. */
  std::int64_t clockErrorPpm{ 1000 };
  /** Orders that wait for an answer at most. */
  std::size_t maxOpen{ 64 };
  /** Time after which an unanswered proposal is made again. */
  Duration proposeInterval{ std::chrono::seconds{ 2 } };
};

} // namespace balsampoint::orders
