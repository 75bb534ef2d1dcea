#pragma once

#include "balsampoint/edge/admission.hpp"
#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/traffic_state.hpp"
#include "balsampoint/fleet/candidate.hpp"
#include "balsampoint/limit/query/explain.hpp"

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace balsampoint::edge {

/** @brief A request whose route is asked for. */
struct RouteQuestion
{
  RequestParameters parameters;
  /** Path of the request target, without the query. */
  std::string path;
  /** Workspace of the caller; empty for none. */
  WorkspaceId workspace;
  /** Hash of the request as the log names it; empty if unknown. */
  std::string fingerprint;
};

/** @brief Where a request would be sent now, and why. */
struct RoutingExplanation
{
  /** What was determined; null fields after a refusal. */
  Admission admission;
  /** Lower is served first. */
  std::uint32_t urgency{};
  /** Nothing, or the error that the request is refused with before servers are
   * chosen. */
  tl::expected<void, Error> verdict;
  /** Admission under shortage; absent where it doesn't apply. */
  std::optional<limit::ShortageExplanation> shortage;
  /** Requests in progress on this host, and the number above which new ones are
   * refused. */
  std::uint32_t activeRequests{};
  std::uint32_t maxActiveRequests{};
  /** How connections to servers are opened: `direct`, `detour` or `none`. */
  std::string link;
  /** The servers, or why there are none; an empty chain after a refusal. */
  tl::expected<fleet::Chain, Error> chain;
  /** All servers of the service. */
  std::vector<fleet::Candidate> candidates;
  /** Age of the sums of other hosts and of the list of servers; absent if none
   * has arrived. */
  std::optional<Duration> usageAge;
  std::optional<Duration> rosterAge;
};

/**
 * @brief Explains where a request would be sent now, by the functions and the
 * state that the traffic uses.
 *
 * The next request draws the same random numbers, so that it takes the same
 * way if nothing has changed. Nothing is counted, reserved or drawn.
 * @param aTraffic State of the traffic thread.
 * @param aQuestion The request.
 */
[[nodiscard]] RoutingExplanation
ExplainRouting(const TrafficState& aTraffic, const RouteQuestion& aQuestion);

} // namespace balsampoint::edge
