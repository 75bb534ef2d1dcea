#include "balsampoint/route/internal/shortest_chain.hpp"

#include <algorithm>
#include <limits>
#include <string>

namespace balsampoint::route::internal {

namespace {

/** The cheapest known chain up to a layer, as its last stage. */
struct Reach
{
  double price{ std::numeric_limits<double>::infinity() };
  std::uint32_t from{};
  const Node* node{};
};

/** Layers at which a chain may change servers, in ascending order. */
std::vector<std::uint32_t>
Borders(std::span<const PricedNode> aNodes, LayerRange aLayers)
{
  std::vector<std::uint32_t> borders{ aLayers.begin, aLayers.end };
  for (const auto& priced : aNodes) {
    const auto& held = priced.node->stage.layers;
    for (const auto layer : { held.begin, held.end }) {
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

/** Computes the cheapest chain up to each boundary, in ascending order. */
class Search
{
public:
  Search(std::span<const PricedNode> aNodes, LayerRange aLayers)
    : mNodes{ aNodes }
    , mLayers{ aLayers }
    , mBorders{ Borders(aNodes, aLayers) }
    , mReached(aLayers.Size() + 1)
  {
    mReached.front().price = 0;
  }

  void Run()
  {
    for (const auto from : mBorders) {
      for (const auto& priced : mNodes) {
        Extend(from, priced);
      }
    }
  }

  [[nodiscard]] bool Found() const { return mReached.back().node != nullptr; }

  [[nodiscard]] Chain Trace() const
  {
    Chain chain;
    for (auto layer = mLayers.end; layer != mLayers.begin;) {
      const auto& reach = mReached[layer - mLayers.begin];
      chain.push_back(reach.node->stage);
      chain.back().layers = { .begin = reach.from, .end = layer };
      layer = reach.from;
    }
    std::ranges::reverse(chain);
    return chain;
  }

private:
  void Extend(std::uint32_t aFrom, const PricedNode& aPriced)
  {
    const auto& held = aPriced.node->stage.layers;
    if (!held.Holds(aFrom)) {
      return;
    }
    const auto base = mReached[aFrom - mLayers.begin].price + aPriced.hopPrice;
    for (const auto to : mBorders) {
      if (to <= aFrom || to > held.end) {
        continue;
      }
      auto& reach = mReached[to - mLayers.begin];
      const auto price = base + aPriced.layerPrice * (to - aFrom);
      if (price < reach.price) {
        reach = { .price = price, .from = aFrom, .node = aPriced.node };
      }
    }
  }

  std::span<const PricedNode> mNodes;
  LayerRange mLayers;
  std::vector<std::uint32_t> mBorders;
  std::vector<Reach> mReached;
};

} // namespace

tl::expected<Chain, Error>
ShortestChain(std::span<const PricedNode> aNodes, LayerRange aLayers)
{
  Search search{ aNodes, aLayers };
  search.Run();
  if (search.Found()) {
    return search.Trace();
  }
  return Refuse(ErrorKind::NoServer,
                "no ready servers hold layers [" +
                  std::to_string(aLayers.begin) + ", " +
                  std::to_string(aLayers.end) + ") without a gap");
}

} // namespace balsampoint::route::internal
