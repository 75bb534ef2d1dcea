#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/route/in_flight.hpp"
#include "balsampoint/route/route_request.hpp"
#include "balsampoint/route/table.hpp"

#include <concepts>

namespace balsampoint::route {

/** @brief Input of a routing policy: servers, flow, load and time. */
struct PolicyInput
{
  const Routes& routes;
  InFlight& inFlight;
  Instant now;
};

/**
 * @brief Chooses the chain of one request.
 * @tparam P Type to test.
 * @tparam Random Source of its random numbers.
 */
template<typename P, typename Random>
concept RoutePolicy =
  RandomSource<Random> && requires(P& aPolicy,
                                   PolicyInput aInput,
                                   const RouteRequest& aRequest,
                                   Random& aRandom) {
    {
      aPolicy.Choose(aInput, aRequest, aRandom)
    } -> std::same_as<tl::expected<Chain, Error>>;
  };

} // namespace balsampoint::route
