#include "balsampoint/route/state.hpp"

namespace balsampoint::route {

namespace {

bool
Serves(const registry::Holding& aHolding, const config::Pipeline& aPipeline)
{
  return aHolding.model == aPipeline.model &&
         aHolding.version == aPipeline.version &&
         aHolding.modelLayers == aPipeline.layers &&
         (aPipeline.adapter.empty() ||
          aHolding.adapters.contains(aPipeline.adapter));
}

Node
MakeNode(const registry::Server& aServer, LayerRange aLayers)
{
  const auto& from = aServer.announcement;
  return { .stage = { .server = from.server,
                      .incarnation = from.incarnation,
                      .address = from.address,
                      .zone = from.zone,
                      .layers = aLayers,
                      .layerTokensPerSecond = from.layerTokensPerSecond },
           .kvCapacityTokens = from.kvCapacityTokens,
           .load = from.load,
           .reportedAt = aServer.reportedAt };
}

} // namespace

Graph
Graph::Make(const config::Pipeline& aPipeline,
            std::span<const registry::Server> aServers,
            std::span<const Link> aLinks)
{
  Graph graph{ .pipeline = aPipeline.id,
               .layers = aPipeline.layers,
               .activationBytes = aPipeline.activationBytes,
               .links = { aLinks.begin(), aLinks.end() } };
  for (const auto& server : aServers) {
    if (server.announcement.state != registry::ServerState::Ready) {
      continue;
    }
    for (const auto& holding : server.announcement.holdings) {
      if (!Serves(holding, aPipeline) || holding.layers.Size() == 0) {
        continue;
      }
      graph.nodes.push_back(MakeNode(server, holding.layers));
    }
  }
  return graph;
}

} // namespace balsampoint::route
