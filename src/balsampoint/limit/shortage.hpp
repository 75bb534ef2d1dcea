#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/fleet/recent_count.hpp"
#include "balsampoint/fleet/state.hpp"
#include "balsampoint/usage/message.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace balsampoint::limit {

/** @brief Urgency of a request; lower is served first. */
using Urgency = std::uint32_t;

/** @brief Settings of the admission to services with several urgencies. */
struct ShortageSettings
{
  /** Fill level that the most urgent requests may use. */
  double maxLevel{ fleet::kMaxKvFraction };
  /** Fill level that the least urgent requests may always use, so that they
   * keep most of the room. */
  double minLevel{ 0.6 };
  /** Time for whose more urgent arrivals room is kept: reports reach all hosts
   * within 0.4 s, in the worst case 1 s, and as long as they are missing the
   * less urgent arrivals of other hosts fill room that seems free. */
  Duration horizon{ std::chrono::seconds{ 1 } };
  /** The minimum share of an urgency is this times the part of the demand that
   * is more urgent. A third serves each urgency at least a quarter as often as
   * all requests, and the minimum share never needs more room than a third of
   * what the more urgent requests need. */
  double minShare{ 1.0 / 3.0 };
  /** Time until reports of work have reached all hosts, at the latest: an
   * urgency's arrivals within it set the width of its ramp. 0.6 s left the most
   * urgent requests 0.56 instead of 0.67 of their demand in the test with
   * bursts and reports that are 0.4 s late. */
  Duration reportDelay{ std::chrono::milliseconds{ 1000 } };
  /** Widest ramp, as a fraction of the KV; the mean level within it stays above
   * half of the room that the least urgent requests may use. */
  double maxRamp{ 0.4 };
  /** Age from which the demand of other hosts is not used: several times their
   * reporting interval, and longer than the latest reports take. */
  Duration maxSumsAge{ std::chrono::milliseconds{ 1500 } };
  /** Time constant of the change of levels; at twice the latest reports' delay,
   * levels don't overshoot. */
  Duration smoothing{ std::chrono::seconds{ 2 } };
  /** Maximum number of waiting requests of one service. */
  std::size_t maxWaiting{ 64 };
  /** Maximum number of waiting requests of one service that are tried at once:
   * each costs a choice of servers. */
  std::size_t maxTries{ 2 };
  /** Longest time over which the retries of refused callers are spread; those
   * that come later miss their targets in any case. */
  Duration maxRetrySpread{ std::chrono::seconds{ 2 } };
};

/** @brief What the requests of one urgency may use. */
struct UrgencyLevel
{
  /** Highest fill level of the KV. */
  double fraction{};
  /** Width of the range below `fraction` over which the levels of single
   * requests are spread. With one level for all, hosts that learn late of each
   * other's work fill the room kept for others as soon as some seems free. */
  double ramp{};
  /** Fraction of the requests that may use the highest level of all. */
  double minShare{};
};

/** @brief A request that found no room. */
struct WaitRequest
{
  Ticket ticket;
  Urgency urgency{};
  /** Whether its caller tries again after a refusal. */
  bool retry{ false };
  /** Empty on public routes. */
  WorkspaceId workspace;
  Instant arrivedAt{};
  /** Last time at which it can be sent and meet its target for the first event.
   */
  Instant latest{};
  /** Tokens for which it needs KV. */
  double tokens{};
  /** Highest fill level of the KV that it may use. */
  double fraction{};
};

/** @brief Demand, levels and waiting requests of a service with several
 * urgencies, at one host. */
struct ServiceShortage
{
  /** Urgencies that its requests have by the configuration. */
  std::set<Urgency> urgencies;
  /** KV tokens that this host's requests asked for. */
  std::map<Urgency, fleet::RecentCount> localDemand;
  /** KV tokens per second that requests of other hosts ask for. */
  std::vector<usage::UrgencyDemand> remoteDemand;
  /** When `remoteDemand` arrived. */
  Instant remoteAt{ Instant::min() };
  std::map<Urgency, UrgencyLevel> levels;
  /** In no particular order. */
  std::vector<WaitRequest> waiting;
  /** This host's requests that found servers, that ended after that, and that
   * were refused. */
  fleet::RecentCount starts;
  fleet::RecentCount ends;
  fleet::RecentCount refusals;
  /** When a request of the workspace last found servers. */
  std::map<WorkspaceId, Instant> lastUse;
};

/** @brief Admission state of one host to services with several urgencies; the
 * traffic thread owns it. */
struct Shortage
{
  ShortageSettings settings;
  /** Only services to which reservation and waiting apply. */
  std::map<ServiceId, ServiceShortage> services;
};

} // namespace balsampoint::limit
