#pragma once

#include "balsampoint/edge/admission.hpp"
#include "balsampoint/edge/crash_watch.hpp"
#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/fingerprint.hpp"
#include "balsampoint/edge/traffic_state.hpp"
#include "balsampoint/exchange/event.hpp"

#include <algorithm>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace balsampoint::edge {

/**
 * @brief One request, what was read from it and what it was admitted to.
 * @tparam D Encoding of requests.
 */
template<Dialect D>
struct AdmittedRequest
{
  IncomingRequest request;
  Instant startedAt{};
  RequestParameters parameters;
  Admission admission;
  /** Hash of what identifies equal requests; empty before admission. */
  std::string fingerprint;
  CrashWatch crashWatch;

  /**
   * @brief Reads and admits the request.
   * @param aTraffic State of the traffic thread.
   * @return `Accepted` or `Rejected`.
   */
  [[nodiscard]] exchange::Event Admit(TrafficState& aTraffic)
  {
    const auto admitted = ReadAndAdmit(aTraffic).and_then([&] {
      fingerprint = Fingerprint({ .workspace = Workspace(),
                                  .method = request.head.method,
                                  .host = parameters.host,
                                  .target = request.head.target,
                                  .body = request.body });
      crashWatch = CrashWatch{ fingerprint, parameters.sharedParts };
      return crashWatch.Admit(aTraffic);
    });
    if (!admitted) {
      return exchange::Rejected{ admitted.error() };
    }
    const auto& route = *admission.route;
    const auto wait =
      std::min(route.timeout, parameters.timeout.value_or(route.timeout));
    return exchange::Accepted{ .kind = route.kind,
                               .deadline = startedAt + wait,
                               .maxReceivers = route.maxAttempts };
  }

  /** @brief Workspace of the caller; empty on public routes. */
  [[nodiscard]] WorkspaceId Workspace() const
  {
    return admission.workspace ? admission.workspace->id : WorkspaceId{};
  }

private:
  tl::expected<void, Error> ReadAndAdmit(TrafficState& aTraffic)
  {
    // Without a configuration every request is refused as not ready, whatever
    // its parameters are.
    if (!aTraffic.routes) {
      return edge::Admit(aTraffic, parameters, {}, admission);
    }
    auto read = D::ReadRequestParameters(request.head);
    if (!read) {
      return tl::unexpected(read.error());
    }
    parameters = std::move(*read);
    return edge::Admit(aTraffic, parameters, request.head.Path(), admission);
  }
};

} // namespace balsampoint::edge
