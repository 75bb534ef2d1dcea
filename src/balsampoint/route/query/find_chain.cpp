#include "balsampoint/route/query/find_chain.hpp"

#include <algorithm>
#include <limits>
#include <string>

namespace balsampoint::route {

namespace {

/** The cheapest way known to reach a layer. */
struct Reach
{
  double price{ std::numeric_limits<double>::infinity() };
  std::uint32_t from{};
  const Node* node{};
};

bool
IsExcluded(std::span<const ExcludedServer> aExcluded, const Stage& aStage)
{
  return std::ranges::any_of(aExcluded, [&aStage](const auto& aEntry) {
    return aEntry.server == aStage.server &&
           aStage.incarnation <= aEntry.incarnation;
  });
}

std::vector<const Node*>
Usable(const Graph& aGraph, const ChainRequest& aRequest)
{
  std::vector<const Node*> usable;
  for (const auto& node : aGraph.nodes) {
    if (IsExcluded(aRequest.excluded, node.stage)) {
      continue;
    }
    usable.push_back(&node);
  }
  return usable;
}

/** Layers at which a chain may pass from one server to the next, in order. */
std::vector<std::uint32_t>
Borders(std::span<const Node* const> aNodes, LayerRange aLayers)
{
  std::vector<std::uint32_t> borders{ aLayers.begin, aLayers.end };
  for (const auto* node : aNodes) {
    for (const auto layer :
         { node->stage.layers.begin, node->stage.layers.end }) {
      if (aLayers.begin < layer && layer < aLayers.end) {
        borders.push_back(layer);
      }
    }
  }
  std::ranges::sort(borders);
  const auto repeated = std::ranges::unique(borders);
  borders.erase(repeated.begin(), repeated.end());
  return borders;
}

Chain
Trace(std::span<const Reach> aReached, LayerRange aLayers)
{
  Chain chain;
  for (auto layer = aLayers.end; layer != aLayers.begin;) {
    const auto& reach = aReached[layer - aLayers.begin];
    chain.push_back(reach.node->stage);
    chain.back().layers = { .begin = reach.from, .end = layer };
    layer = reach.from;
  }
  std::ranges::reverse(chain);
  return chain;
}

} // namespace

tl::expected<Chain, Error>
FindChain(const Graph& aGraph,
          const ChainRequest& aRequest,
          const NodePrice& aPrice,
          double aHopPrice)
{
  const auto layers = aRequest.layers;
  const auto nodes = Usable(aGraph, aRequest);
  const auto borders = Borders(nodes, layers);
  std::vector<Reach> reached(layers.Size() + 1);
  reached.front().price = 0;
  for (const auto from : borders) {
    const auto base = reached[from - layers.begin].price;
    for (const auto* node : nodes) {
      if (!node->stage.layers.Holds(from)) {
        continue;
      }
      const auto price = aPrice(*node);
      for (const auto to : borders) {
        if (to <= from || to > node->stage.layers.end) {
          continue;
        }
        const auto total = base + aHopPrice + price * (to - from);
        if (total < reached[to - layers.begin].price) {
          reached[to - layers.begin] = { .price = total,
                                         .from = from,
                                         .node = node };
        }
      }
    }
  }
  if (reached.back().node == nullptr) {
    return Refuse(ErrorKind::NoServer,
                  "no ready servers hold layers [" +
                    std::to_string(layers.begin) + ", " +
                    std::to_string(layers.end) + ") without a gap");
  }
  return Trace(reached, layers);
}

} // namespace balsampoint::route
