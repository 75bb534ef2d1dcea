#include "balsampoint/traffic/table_route.hpp"

#include "balsampoint/runtime/steady_clock.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::traffic {

namespace {

/** Whether a view shows a stage's server since the same start. */
bool
Shows(const registry::View& aView, const route::Stage& aStage)
{
  const auto found = std::ranges::lower_bound(
    aView.servers, aStage.server, {}, [](const auto& aServer) -> const auto& {
      return aServer.announcement.server;
    });
  return found != aView.servers.end() &&
         found->announcement.server == aStage.server &&
         found->announcement.incarnation == aStage.incarnation;
}

} // namespace

TableRoute::TableRoute(World& aWorld, const config::Pipeline& aPipeline)
  : mWorld{ aWorld }
  , mPipeline{ aPipeline }
{
}

TableRoute::~TableRoute()
{
  mWorld.router.Release(mCounted);
}

stream::RouteChosen
TableRoute::Choose(const stream::ChooseRoute& aWanted)
{
  auto table = mWorld.routes.Read();
  while (true) {
    auto chain = Try(table.get(), aWanted);
    const auto wait = aWanted.until - runtime::SteadyClock::Now();
    if (chain || wait <= Duration::zero()) {
      return { .layers = aWanted.layers, .route = std::move(chain) };
    }
    table = mWorld.routes.ReadNext(table, wait);
  }
}

std::vector<stream::ServerGone>
TableRoute::Gone(std::span<const stream::StageState> aStages)
{
  std::vector<stream::ServerGone> gone;
  auto view = mWorld.servers.Read();
  if (!view || view == mView) {
    return gone;
  }
  mView = std::move(view);
  for (const auto& state : aStages) {
    const auto& stage = state.stage;
    if (state.gone || Shows(*mView, stage)) {
      continue;
    }
    gone.push_back(
      { .server = stage.server, .incarnation = stage.incarnation });
  }
  return gone;
}

tl::expected<route::Chain, Error>
TableRoute::Try(const route::Table* aTable, const stream::ChooseRoute& aWanted)
{
  if (aTable == nullptr || !aTable->pipelines.contains(mPipeline.id)) {
    return Refuse(ErrorKind::NoServer,
                  "no backend server has announced itself");
  }
  const route::RouteRequest request{ .layers = aWanted.layers,
                                     .entry = mWorld.zone,
                                     .excluded = aWanted.excluded,
                                     .avoidedZones = aWanted.avoidedZones,
                                     .kvTokens = mPipeline.maxTokens };
  auto chain = mWorld.router.Choose(
    aTable->pipelines.at(mPipeline.id), request, runtime::SteadyClock::Now());
  if (chain) {
    mCounted.insert(mCounted.end(), chain->begin(), chain->end());
  }
  return chain;
}

} // namespace balsampoint::traffic
