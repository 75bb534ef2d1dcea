#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace balsampoint::registry {

/** @brief Settings of the registry of one host. */
struct Settings
{
  HostId self;
  ZoneId zone;
  /** Length of a lease, from the receipt of an announcement. */
  Duration lease{ std::chrono::seconds{ 2 } };
  /** Time for which servers of an unreachable host stay visible. */
  Duration orphanGrace{ std::chrono::milliseconds{ 500 } };
  /** Time without contact, beyond one interval of load broadcasts, after which
   * other hosts are asked about a host. */
  Duration contactTimeout{ std::chrono::seconds{ 3 } };
  /** Further time without contact after which the host counts as unreachable.
   * */
  Duration unreachableTimeout{ std::chrono::seconds{ 4 } };
  /** Time for which the record of a lost server is kept. */
  Duration lossRetention{ std::chrono::minutes{ 10 } };
  /** Longest delay of a view that differs only in load. */
  Duration loadInterval{ std::chrono::milliseconds{ 250 } };
  /** Shortest time between two broadcasts of changes. */
  Duration deltaInterval{ std::chrono::milliseconds{ 100 } };
  /** Longest delay of renewals that are forwarded to the owners of the leases.
   * */
  Duration renewalInterval{ std::chrono::milliseconds{ 300 } };
  /** Time between two digests sent to a random host of the zone. */
  Duration digestInterval{ std::chrono::seconds{ 1 } };
  /** Shortest time between two broadcasts of loads. */
  Duration minLoadBroadcast{ std::chrono::milliseconds{ 500 } };
  /** Time between two broadcasts of loads per receiver, if that is longer. */
  Duration loadBroadcastPerHost{ std::chrono::milliseconds{ 200 } };
  /** Shortest time between two summaries for other zones. */
  Duration minSummaryInterval{ std::chrono::seconds{ 1 } };
  /** Time after which an unchanged summary is sent again. */
  Duration summaryInterval{ std::chrono::seconds{ 60 } };
  /** Time after which another zone's summary expires. */
  Duration summaryLease{ std::chrono::seconds{ 180 } };
  /** Consecutive errors after which this host avoids a server. */
  std::uint32_t errorsToAvoid{ 3 };
  Duration minAvoidance{ std::chrono::seconds{ 1 } };
  Duration maxAvoidance{ std::chrono::seconds{ 30 } };
  /** Largest number of records of servers. */
  std::size_t capacity{ 4096 };
};

} // namespace balsampoint::registry
