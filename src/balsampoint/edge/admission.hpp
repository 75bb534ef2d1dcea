#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/traffic_state.hpp"
#include "balsampoint/routing/table.hpp"

#include <cstdint>
#include <memory>
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
