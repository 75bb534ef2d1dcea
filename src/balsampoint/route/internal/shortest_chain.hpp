#pragma once

#include "balsampoint/route/state.hpp"

#include <span>

namespace balsampoint::route::internal {

/** @brief A server that a chain may use, with its price. */
struct PricedNode
{
  const Node* node{};
  /** Price of one layer; lower is better. */
  double layerPrice{};
  /** Price added once for each stage on this server. */
  double hopPrice{};
};

/**
 * @brief Finds the cheapest chain over a range of layers.
 * @param aNodes The usable servers.
 * @param aLayers The range.
 * @return The chain, or `ErrorKind::NoServer` when a layer has no server.
 */
[[nodiscard]] tl::expected<Chain, Error>
ShortestChain(std::span<const PricedNode> aNodes, LayerRange aLayers);

} // namespace balsampoint::route::internal
