#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace balsampoint::registry {

/** @brief What one host's registry is set up with. */
struct Settings
{
  HostId self;
  ZoneId zone;
  /** How long an announcement holds from its receipt. */
  Duration lease{ std::chrono::seconds{ 2 } };
  /** How long servers of a host out of reach stay visible. */
  Duration orphanGrace{ std::chrono::milliseconds{ 500 } };
  /** Silence beyond a broadcast of loads after which others are asked. */
  Duration contactDoubt{ std::chrono::seconds{ 3 } };
  /** Silence beyond the doubt after which a host is out of reach. */
  Duration contactGrace{ std::chrono::seconds{ 4 } };
  /** How long a lost server's incarnation is remembered. */
  Duration memory{ std::chrono::minutes{ 10 } };
  /** Shortest time between two views that differ only in load. */
  Duration loadInterval{ std::chrono::milliseconds{ 250 } };
  /** Shortest time between two broadcasts of changes. */
  Duration deltaInterval{ std::chrono::milliseconds{ 100 } };
  /** Time between two messages with renewals to the host that leases. */
  Duration renewalInterval{ std::chrono::milliseconds{ 300 } };
  /** Time between two comparisons with another host of the zone. */
  Duration digestInterval{ std::chrono::seconds{ 1 } };
  /** Shortest time between two broadcasts of loads. */
  Duration minLoadBroadcast{ std::chrono::milliseconds{ 500 } };
  /** Added to the time between broadcasts of loads for each receiver. */
  Duration loadBroadcastPerHost{ std::chrono::milliseconds{ 200 } };
  /** Shortest time between two summaries for other zones. */
  Duration minSummaryInterval{ std::chrono::seconds{ 1 } };
  /** Time after which a summary is sent again unchanged. */
  Duration summaryInterval{ std::chrono::seconds{ 60 } };
  /** How long another zone's summary holds. */
  Duration summaryLease{ std::chrono::seconds{ 180 } };
  /** Errors in a row after which this host avoids a server for a while. */
  std::uint32_t errorsToAvoid{ 3 };
  Duration minAvoidance{ std::chrono::seconds{ 1 } };
  Duration maxAvoidance{ std::chrono::seconds{ 30 } };
  /** Most servers that one host keeps. */
  std::size_t capacity{ 4096 };
};

} // namespace balsampoint::registry
