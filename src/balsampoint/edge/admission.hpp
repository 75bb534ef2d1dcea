#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/traffic_state.hpp"
#include "balsampoint/routing/table.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace balsampoint::edge {

/**
 * @brief Route, workspace and service of a request; those that were not
 * determined before a refusal stay null.
 */
struct Admission
{
  /** Owns the objects that the pointers below refer to. */
  std::shared_ptr<const routing::Table> routes;
  const routing::Route* route{};
  /** Null on public routes. */
  const routing::Workspace* workspace{};
  const routing::Service* service{};
};

/** @brief What admission knows of a request. */
struct AdmissionQuestion
{
  /** Host name without the port. */
  std::string_view host;
  /** Path of the request target, without the query. */
  std::string_view path;
  /** API key; absent if none is sent. */
  std::optional<std::string> key;
  /** Workspace of an operator's question, which names no key; empty for
   * none. */
  WorkspaceId workspace;
  /** Requests in progress on this host, this one included. */
  std::uint32_t activeRequests{};
};

/**
 * @brief Determines the route, the workspace and the service of a request
 * without changing the state.
 * @param aTraffic State of the traffic thread.
 * @param aQuestion The request.
 * @param aRandom Picks one of several services.
 * @param aAdmission Receives what was determined, also if the request is
 * refused.
 * @return Nothing, or the error that the request is refused with.
 */
[[nodiscard]] tl::expected<void, Error>
DecideAdmission(const TrafficState& aTraffic,
                const AdmissionQuestion& aQuestion,
                SplitMix64& aRandom,
                Admission& aAdmission);

/**
 * @brief Urgency of a request: the priority of its workspace, or else that of
 * its route; lower is served first.
 * @param aAdmission Route and workspace of the request.
 */
[[nodiscard]] inline std::uint32_t
UrgencyOf(const Admission& aAdmission)
{
  const auto* workspace = aAdmission.workspace;
  return workspace != nullptr && workspace->priority
           ? *workspace->priority
           : aAdmission.route->priority;
}

/**
 * @brief Determines the route, the workspace and the service of a request.
 * @param aTraffic State of the traffic thread.
 * @param aParameters Parameters of the request.
 * @param aPath Path of the request target, without the query.
 * @param aAdmission Receives what was determined, also if the request is
 * refused.
 * @return Nothing, or the error that the request is refused with.
 */
[[nodiscard]] tl::expected<void, Error>
Admit(TrafficState& aTraffic,
      const RequestParameters& aParameters,
      std::string_view aPath,
      Admission& aAdmission);

} // namespace balsampoint::edge
