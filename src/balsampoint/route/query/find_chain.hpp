#pragma once

#include "balsampoint/route/state.hpp"

#include <functional>
#include <span>

namespace balsampoint::route {

/** @brief Price of a server for one layer; lower is better. */
using NodePrice = std::function<double(const Node&)>;

/** @brief What a chain must do and which servers it must leave out. */
struct ChainRequest
{
  LayerRange layers;
  std::span<const ExcludedServer> excluded;
};

/**
 * @brief Finds the cheapest chain over a range of layers.
 *
 * A server is entered at any layer it holds and left at its end, at the end of
 * the range, or at any layer where another server's holding begins.
 * @param aGraph The servers.
 * @param aRequest The range and the servers to leave out.
 * @param aPrice Price of a server for one layer.
 * @param aHopPrice Price of each stage besides, so that few are used.
 * @return The chain, or `ErrorKind::NoServer` when a layer has no server.
 */
[[nodiscard]] tl::expected<Chain, Error>
FindChain(const Graph& aGraph,
          const ChainRequest& aRequest,
          const NodePrice& aPrice,
          double aHopPrice);

} // namespace balsampoint::route
