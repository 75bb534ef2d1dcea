#include "balsampoint/traffic/route_planner.hpp"

#include "balsampoint/route/query/max_flow.hpp"
#include "balsampoint/route/query/plan.hpp"

#include <utility>

namespace balsampoint::traffic {

namespace {

/** Announcements of this long are planned for together. */
constexpr Duration kGather = std::chrono::milliseconds{ 20 };

} // namespace

RoutePlanner::RoutePlanner(World& aWorld)
  : mWorld{ aWorld }
  , mThread{ [this] { Run(); } }
{
}

RoutePlanner::~RoutePlanner()
{
  mWorld.changed.Close();
  mThread.join();
}

void
RoutePlanner::Run()
{
  std::uint64_t known = 0;
  while (mWorld.changed.Wait(known) && mWorld.changed.Pause(kGather)) {
    Plan();
  }
}

void
RoutePlanner::Plan()
{
  const auto configuration = mWorld.configuration.Read();
  const auto servers = mWorld.servers.Read();
  if (!configuration || !servers) {
    return;
  }
  const auto previous = mWorld.routes.Read();
  auto table = route::Plan(previous ? *previous : route::Table{},
                           { .document = configuration->document,
                             .servers = servers->servers,
                             .links = {} });
  mWorld.routes.Publish(std::make_shared<const route::Table>(table));
  for (const auto& id : route::PipelinesWithoutFlow(table)) {
    auto& routes = table.pipelines[id];
    routes.flow =
      route::MaxFlow(routes.graph, route::EqualShares(routes.graph));
    routes.flowNumber = ++mFlowNumber;
    mWorld.routes.Publish(std::make_shared<const route::Table>(table));
  }
}

} // namespace balsampoint::traffic
