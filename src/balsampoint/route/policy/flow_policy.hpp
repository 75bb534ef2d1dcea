#pragma once

#include "balsampoint/route/concepts.hpp"
#include "balsampoint/route/internal/path_credits.hpp"
#include "balsampoint/route/internal/server_price.hpp"

#include <algorithm>
#include <map>

namespace balsampoint::route {

/**
 * @brief Distributes requests over paths in proportion to the maximum flow.
 *
 * Picks the path that is furthest behind its share of the flow, and for each of
 * its hops the cheaper of two servers sampled at random. The cheapest chain is
 * chosen instead where the flow has no usable path, zones are avoided, or only
 * part of the layers is requested.
 */
class FlowPolicy
{
public:
  /**
   * @brief Chooses a chain.
   * @tparam Random Type of the source of random numbers.
   * @param aInput Servers, flow, load and the current time.
   * @param aRequest Requirements of the chain.
   * @param aRandom Source of random numbers.
   * @return The chain, or `ErrorKind::NoServer`.
   */
  template<RandomSource Random>
  tl::expected<Chain, Error> Choose(PolicyInput aInput,
                                    const RouteRequest& aRequest,
                                    Random& aRandom)
  {
    const auto& routes = aInput.routes;
    const internal::ServerPrice price{ aInput, aRequest };
    const auto* path = NextPath(routes, aRequest, price, aRandom);
    if (path == nullptr) {
      return internal::CheapestChain(routes.graph, aRequest, price);
    }
    Chain chain;
    for (const auto& hop : path->hops) {
      const auto& group = routes.flow.groups[hop.group];
      chain.push_back(Pick(routes.graph, group, price, aRandom).stage);
      chain.back().layers = hop.layers;
    }
    return chain;
  }

private:
  template<RandomSource Random>
  const Path* NextPath(const Routes& aRoutes,
                       const RouteRequest& aRequest,
                       const internal::ServerPrice& aPrice,
                       Random& aRandom)
  {
    const LayerRange all{ .begin = 0, .end = aRoutes.graph.layers };
    if (aRequest.layers != all || !aRequest.avoidedZones.empty()) {
      return nullptr;
    }
    auto& credits = mCredits[aRoutes.graph.pipeline];
    credits.Update(aRoutes, aRequest.entry, aRandom.Next());
    return credits.Next(aRoutes, [&](const Path& aPath) {
      return aRequest.excluded.empty() || IsPathUsable(aRoutes, aPath, aPrice);
    });
  }

  static bool IsPathUsable(const Routes& aRoutes,
                           const Path& aPath,
                           const internal::ServerPrice& aPrice)
  {
    return std::ranges::all_of(aPath.hops, [&](const Hop& aHop) {
      const auto& nodes = aRoutes.flow.groups[aHop.group].nodes;
      return std::ranges::any_of(nodes, [&](std::size_t aNode) {
        return aPrice.IsUsable(aRoutes.graph.nodes[aNode]);
      });
    });
  }

  /** The cheaper of two servers sampled in proportion to their speed. */
  template<RandomSource Random>
  static const Node& Pick(const Graph& aGraph,
                          const Group& aGroup,
                          const internal::ServerPrice& aPrice,
                          Random& aRandom)
  {
    const auto& one = Sample(aGraph, aGroup, aPrice, aRandom.Next());
    const auto& other = Sample(aGraph, aGroup, aPrice, aRandom.Next());
    return aPrice.LayerPrice(other) < aPrice.LayerPrice(one) ? other : one;
  }

  /** Samples a usable server with probability in proportion to its speed; the
   * group's first server if none is usable. */
  static const Node& Sample(const Graph& aGraph,
                            const Group& aGroup,
                            const internal::ServerPrice& aPrice,
                            std::uint64_t aRandom)
  {
    constexpr double kRange = 18446744073709551616.0;
    auto remaining =
      static_cast<double>(aRandom) / kRange * aGroup.layerTokensPerSecond;
    const Node* usable = nullptr;
    for (const auto index : aGroup.nodes) {
      const auto& node = aGraph.nodes[index];
      remaining -= node.stage.layerTokensPerSecond;
      if (!aPrice.IsUsable(node)) {
        continue;
      }
      usable = &node;
      if (remaining <= 0) {
        break;
      }
    }
    return usable != nullptr ? *usable : aGraph.nodes[aGroup.nodes.front()];
  }

  std::map<PipelineId, internal::PathCredits> mCredits;
};

} // namespace balsampoint::route
