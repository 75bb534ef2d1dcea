#include "balsampoint/route/query/find_chain.hpp"

#include "balsampoint/route/internal/shortest_chain.hpp"
#include "balsampoint/route/route_request.hpp"

namespace balsampoint::route {

tl::expected<Chain, Error>
FindChain(const Graph& aGraph,
          const ChainRequest& aRequest,
          const NodePrice& aPrice,
          double aHopPrice)
{
  const RouteRequest request{ .layers = aRequest.layers,
                              .excluded = aRequest.excluded };
  std::vector<internal::PricedNode> usable;
  for (const auto& node : aGraph.nodes) {
    if (Excludes(request, node.stage)) {
      continue;
    }
    usable.push_back(
      { .node = &node, .layerPrice = aPrice(node), .hopPrice = aHopPrice });
  }
  return internal::ShortestChain(usable, aRequest.layers);
}

} // namespace balsampoint::route
