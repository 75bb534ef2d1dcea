#include "balsampoint/route/internal/shortest_chain.hpp"

#include <algorithm>
#include <limits>
#include <string>

namespace balsampoint::route::internal {

namespace {

/** The cheapest known chain up to a layer, as its last stage. */
struct PartialPath
{
  double price{ std::numeric_limits<double>::infinity() };
  std::uint32_t from{};
  const Node* node{};
};

/** Layers at which a chain may change servers, in ascending order. */
std::vector<std::uint32_t>
Boundaries(std::span<const PricedNode> aNodes, LayerRange aLayers)
{
  std::vector<std::uint32_t> boundaries{ aLayers.begin, aLayers.end };
  for (const auto& priced : aNodes) {
    const auto& held = priced.node->stage.layers;
    for (const auto layer : { held.begin, held.end }) {
      if (aLayers.begin < layer && layer < aLayers.end) {
        boundaries.push_back(layer);
      }
    }
  }
  std::ranges::sort(boundaries);
  const auto repeated = std::ranges::unique(boundaries);
  boundaries.erase(repeated.begin(), repeated.end());
  return boundaries;
}

/** Computes the cheapest chain up to each boundary, in ascending order. */
class Search
{
public:
  Search(std::span<const PricedNode> aNodes, LayerRange aLayers)
    : mNodes{ aNodes }
    , mLayers{ aLayers }
    , mBoundaries{ Boundaries(aNodes, aLayers) }
    , mReached(aLayers.Size() + 1)
  {
    mReached.front().price = 0;
  }

  void Run()
  {
    for (const auto from : mBoundaries) {
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
      const auto& partial = mReached[layer - mLayers.begin];
      chain.push_back(partial.node->stage);
      chain.back().layers = { .begin = partial.from, .end = layer };
      layer = partial.from;
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
    for (const auto to : mBoundaries) {
      if (to <= aFrom || to > held.end) {
        continue;
      }
      auto& partial = mReached[to - mLayers.begin];
      const auto price = base + aPriced.layerPrice * (to - aFrom);
      if (price < partial.price) {
        partial = { .price = price, .from = aFrom, .node = aPriced.node };
      }
    }
  }

  std::span<const PricedNode> mNodes;
  LayerRange mLayers;
  std::vector<std::uint32_t> mBoundaries;
  std::vector<PartialPath> mReached;
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
