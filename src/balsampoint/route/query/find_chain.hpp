#pragma once

#include "balsampoint/route/state.hpp"

#include <functional>
#include <span>

namespace balsampoint::route {

/** @brief Price of a server for one layer; lower is better. */
using NodePrice = std::function<double(const Node&)>;

/** @brief Layers that a chain must cover, and servers that it must not use. */
struct ChainRequest
{
  LayerRange layers;
  std::span<const ExcludedServer> excluded;
};

/**
 * @brief Finds the cheapest chain over a range of layers.
 *
 * A server is entered at any layer it holds and left at its end, at the end of
 * the range, or at any layer where the range held by another server begins or
 * ends.
 * @param aGraph The servers.
 * @param aRequest The range and the excluded servers.
 * @param aPrice Price of a server for one layer.
 * @param aHopPrice Additional price of each stage; favours short chains.
 * @return The chain, or `ErrorKind::NoServer` when a layer has no server.
 */
[[nodiscard]] tl::expected<Chain, Error>
FindChain(const Graph& aGraph,
          const ChainRequest& aRequest,
          const NodePrice& aPrice,
          double aHopPrice);

} // namespace balsampoint::route
