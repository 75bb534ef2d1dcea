#include "balsampoint/traffic/view_route.hpp"

#include "balsampoint/route/query/find_chain.hpp"
#include "balsampoint/runtime/steady_clock.hpp"

namespace balsampoint::traffic {

namespace {

constexpr double kHopPrice = 1.0;

double
Price(const route::Node& aNode)
{
  const auto running = aNode.load.runningRequests + 1.0;
  return running / std::max(1.0, aNode.stage.layerTokensPerSecond);
}

} // namespace

stream::RouteChosen
ViewRoute::Choose(const stream::ChooseRoute& aWanted)
{
  std::shared_ptr<const registry::View> view = mWorld.servers.Read();
  while (true) {
    tl::expected<route::Chain, Error> chain =
      Refuse(ErrorKind::NoServer, "no backend server has announced itself");
    if (view) {
      const auto graph = route::Graph::Make(mPipeline, view->servers, {});
      const route::ChainRequest request{ .layers = aWanted.layers,
                                         .excluded = aWanted.excluded };
      chain = route::FindChain(graph, request, Price, kHopPrice);
    }
    const auto wait = aWanted.until - runtime::SteadyClock::Now();
    if (chain || wait <= Duration::zero()) {
      return { .layers = aWanted.layers, .route = std::move(chain) };
    }
    view = mWorld.servers.ReadNext(view, wait);
  }
}

} // namespace balsampoint::traffic
