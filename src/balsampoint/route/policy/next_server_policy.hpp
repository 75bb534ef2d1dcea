#pragma once

#include "balsampoint/route/concepts.hpp"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace balsampoint::route {

/**
 * @brief Builds a chain server by server; each server runs all layers it holds
 * from the next one on.
 *
 * Base of the policies that don't use the maximum flow.
 * @tparam Picker Picks one of the servers that hold the next layer.
 */
template<typename Picker>
class BasicNextServerPolicy
{
public:
  /**
   * @brief Chooses a chain.
   * @param aInput Servers, load and the current time.
   * @param aRequest Requirements of the chain.
   * @param aRandom Source of random numbers.
   * @return The chain, or `ErrorKind::NoServer`.
   */
  template<RandomSource Random>
  tl::expected<Chain, Error> Choose(PolicyInput aInput,
                                    const RouteRequest& aRequest,
                                    Random& aRandom)
  {
    Chain chain;
    for (auto layer = aRequest.layers.begin; layer < aRequest.layers.end;) {
      const auto holders = Holders(aInput.routes.graph, aRequest, layer);
      if (holders.empty()) {
        return Refuse(ErrorKind::NoServer,
                      "no ready server holds layer " + std::to_string(layer));
      }
      chain.push_back(mPicker.Pick(aInput, holders, aRandom).stage);
      auto& layers = chain.back().layers;
      layers = { .begin = layer,
                 .end = std::min(layers.end, aRequest.layers.end) };
      layer = layers.end;
    }
    return chain;
  }

private:
  static std::vector<const Node*> Holders(const Graph& aGraph,
                                          const RouteRequest& aRequest,
                                          std::uint32_t aLayer)
  {
    std::vector<const Node*> holders;
    for (const auto& node : aGraph.nodes) {
      if (!node.stage.layers.Holds(aLayer) || Excludes(aRequest, node.stage)) {
        continue;
      }
      holders.push_back(&node);
    }
    return holders;
  }

  Picker mPicker;
};

/** @brief Picks a server uniformly at random. */
struct RandomPicker
{
  /** @brief Picks one of several servers. */
  template<RandomSource Random>
  const Node& Pick(const PolicyInput& /*aInput*/,
                   std::span<const Node* const> aHolders,
                   Random& aRandom)
  {
    return *aHolders[aRandom.Next() % aHolders.size()];
  }
};

/** @brief Picks the servers in turn. */
struct RoundRobinPicker
{
  /** @brief Picks one of several servers. */
  template<RandomSource Random>
  const Node& Pick(const PolicyInput& /*aInput*/,
                   std::span<const Node* const> aHolders,
                   Random& aRandom)
  {
    if (next == kUnset) {
      next = aRandom.Next();
    }
    return *aHolders[next++ % aHolders.size()];
  }

  static constexpr auto kUnset = std::numeric_limits<std::uint64_t>::max();
  /** Counter of picks; starts at random, so that hosts don't pick the same
   * servers at the same time. */
  std::uint64_t next{ kUnset };
};

/** @brief Picks the server with the least reported load relative to its speed.
 */
struct LeastLoadedPicker
{
  /** @brief Picks one of several servers. */
  template<RandomSource Random>
  const Node& Pick(const PolicyInput& /*aInput*/,
                   std::span<const Node* const> aHolders,
                   Random& aRandom)
  {
    const Node* least = nullptr;
    double leastLoad{};
    const auto first = aRandom.Next() % aHolders.size();
    for (std::size_t at = 0; at < aHolders.size(); ++at) {
      const auto& node = *aHolders[(first + at) % aHolders.size()];
      const auto load =
        (node.load.runningRequests + 1.0) / node.stage.layerTokensPerSecond;
      if (least == nullptr || load < leastLoad) {
        least = &node;
        leastLoad = load;
      }
    }
    return *least;
  }
};

/** @brief Picks random servers that hold the next layer. */
using RandomPolicy = BasicNextServerPolicy<RandomPicker>;
/** @brief Picks the servers that hold the next layer in turn. */
using RoundRobinPolicy = BasicNextServerPolicy<RoundRobinPicker>;
/** @brief Picks the server with the least reported load. */
using LeastLoadedPolicy = BasicNextServerPolicy<LeastLoadedPicker>;

} // namespace balsampoint::route
