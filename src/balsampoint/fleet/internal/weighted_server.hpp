#pragma once

#include "balsampoint/fleet/query/choose_chain.hpp"
#include "balsampoint/fleet/state.hpp"

#include <cstdint>
#include <limits>

namespace balsampoint::fleet::internal {

/** @brief Cost of what can't run a request. */
inline constexpr double kUnreachable = std::numeric_limits<double>::infinity();

/** @brief A server that may take part in the chain. */
struct WeightedServer
{
  const Server* server{};
  /** Factor on its cost, which varies between choices. */
  double weight{ 1.0 };
  /** Wait for the prefill of earlier prompts, in ms. */
  double backlogMs{};
  /** Mean wait for the pass that is running when a token arrives, in ms. */
  double waitMs{};
  /** Time per event and layer with the request's own prefill, in ms, before the
   * cost of the fill level. */
  double runMsPerLayer{};
  /** Cost per event and layer of the delay of other prompts. */
  double delayMsPerLayer{};
  /** KV in use and KV that the request may fill, in tokens times layers. */
  double kvUsed{};
  double room{};
  /** The same within the limit of the request's urgency. */
  double ownRoom{};
};

/**
 * @brief Number of events of the expected answer, at least one.
 * @param aEngine Profile of the service's engines.
 * @param aDemand The request.
 */
[[nodiscard]] double
EventsOf(const routing::EngineProfile& aEngine, const Demand& aDemand);

/**
 * @brief Computes once for a search what doesn't depend on the layers that a
 * server runs: all times grow in proportion to their number.
 * @param aSettings Parameters of the choice.
 * @param aGroup Servers of the service.
 * @param aEngine Profile of the service's engines.
 * @param aDemand The request.
 * @param aServer The server.
 * @param aWeight Factor on its cost.
 * @param aNow Current time.
 */
[[nodiscard]] WeightedServer
WeighServer(const Settings& aSettings,
            const Group& aGroup,
            const routing::EngineProfile& aEngine,
            const Demand& aDemand,
            const Server& aServer,
            double aWeight,
            Instant aNow);

/**
 * @brief Time per event that a server needs for some layers of a request, with
 * the cost of its fill level.
 * @param aServer The server.
 * @param aTokens Tokens for which the request needs KV.
 * @param aLayers Number of layers.
 * @return Milliseconds; `kUnreachable` if the server has no room.
 */
[[nodiscard]] double
RunMs(const WeightedServer& aServer, double aTokens, std::uint32_t aLayers);

} // namespace balsampoint::fleet::internal
