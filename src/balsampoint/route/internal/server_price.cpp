#include "balsampoint/route/internal/server_price.hpp"

#include "balsampoint/route/internal/shortest_chain.hpp"

#include <algorithm>
#include <chrono>

namespace balsampoint::route::internal {

namespace {

/** Fraction of the price that a cached prefix is expected to save. */
constexpr double kCacheSaving = 0.3;
/** Factor on the price of a server that is used only if no other can be. */
constexpr double kAvoidancePenalty = 1e6;
constexpr double kMinSpeed = 1e-3;

const Link*
FindLink(std::span<const Link> aLinks, const ZoneId& aOne, const ZoneId& aOther)
{
  for (const auto& link : aLinks) {
    if ((link.one == aOne && link.other == aOther) ||
        (link.one == aOther && link.other == aOne)) {
      return &link;
    }
  }
  return nullptr;
}

} // namespace

ServerPrice::ServerPrice(PolicyInput aInput, const RouteRequest& aRequest)
  : mInput{ aInput }
  , mRequest{ aRequest }
{
}

double
ServerPrice::LayerPrice(const Node& aNode) const
{
  const auto load = mInput.inFlight.Estimate(aNode, mInput.now) + 1.0;
  const auto speed = std::max(kMinSpeed, aNode.stage.layerTokensPerSecond);
  auto price = load / speed;
  if (IsCached(aNode)) {
    price *= 1.0 - kCacheSaving;
  }
  if (IsAvoided(aNode) || !HasFreeKv(aNode)) {
    price *= kAvoidancePenalty;
  }
  return price;
}

double
ServerPrice::HopPrice(const Node& aNode) const
{
  const auto& graph = mInput.routes.graph;
  const auto* link = FindLink(graph.links, mRequest.entry, aNode.stage.zone);
  if (link == nullptr) {
    return 0;
  }
  const auto delay = std::chrono::duration<double>{ link->delay }.count();
  const auto bytes = static_cast<double>(graph.activationBytes);
  const auto transfer =
    link->bytesPerSecond > 0 ? bytes / link->bytesPerSecond : 0.0;
  constexpr double kDirections = 2;
  return kDirections * (delay + transfer);
}

bool
ServerPrice::IsUsable(const Node& aNode) const
{
  return !Excludes(mRequest, aNode.stage);
}

bool
ServerPrice::IsCached(const Node& aNode) const
{
  return std::ranges::find(mRequest.cached, aNode.stage.server) !=
         mRequest.cached.end();
}

bool
ServerPrice::IsAvoided(const Node& aNode) const
{
  return std::ranges::find(mRequest.avoidedZones, aNode.stage.zone) !=
         mRequest.avoidedZones.end();
}

bool
ServerPrice::HasFreeKv(const Node& aNode) const
{
  return aNode.kvCapacityTokens == 0 ||
         aNode.load.kvTokensUsed + mRequest.kvTokens <= aNode.kvCapacityTokens;
}

tl::expected<Chain, Error>
CheapestChain(const Graph& aGraph,
              const RouteRequest& aRequest,
              const ServerPrice& aPrice)
{
  std::vector<PricedNode> usable;
  for (const auto& node : aGraph.nodes) {
    const auto& held = node.stage.layers;
    const bool overlaps =
      held.begin < aRequest.layers.end && aRequest.layers.begin < held.end;
    if (!overlaps || !aPrice.IsUsable(node)) {
      continue;
    }
    usable.push_back({ .node = &node,
                       .layerPrice = aPrice.LayerPrice(node),
                       .hopPrice = aPrice.HopPrice(node) });
  }
  return ShortestChain(usable, aRequest.layers);
}

} // namespace balsampoint::route::internal
