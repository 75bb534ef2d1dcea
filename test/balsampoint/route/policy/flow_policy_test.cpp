#include "balsampoint/route/policy/flow_policy.hpp"

#include "../servers.hpp"
#include "balsampoint/route/query/max_flow.hpp"
#include "balsampoint/route/query/plan.hpp"
#include "balsampoint/route/router.hpp"
#include "fake/random.hpp"

#include <criterion/criterion.h>
#include <map>

using namespace balsampoint;
using fake::Holder;
using fake::Verse;

namespace {

using Router = route::BasicRouter<route::FlowPolicy, fake::Random>;

route::Routes
RoutesOf(const std::vector<registry::Server>& aServers)
{
  route::Routes routes{ .graph = route::Graph::Make(Verse(), aServers, {}),
                        .flowNumber = 1 };
  routes.flow = route::MaxFlow(routes.graph, route::EqualShares(routes.graph));
  return routes;
}

std::vector<registry::Server>
UnevenServers()
{
  return { Holder("s1", { 0, 6 }, "a", 300),
           Holder("s2", { 0, 6 }, "a", 100),
           Holder("s3", { 6, 12 }, "a", 400) };
}

const route::RouteRequest kAll{ .layers = { 0, 12 }, .entry = ZoneId{ "a" } };

} // namespace

Test(flow_policy, distributes_requests_in_proportion_to_the_flow)
{
  const auto routes = RoutesOf(UnevenServers());
  Router router{ fake::Random{ 3 } };
  std::map<std::string, int> chosen;
  std::vector<route::Chain> chains;
  for (int request = 0; request < 400; ++request) {
    chains.push_back(router.Choose(routes, kAll, Instant{}).value());
    cr_assert(route::Covers(chains.back(), kAll.layers));
    for (const auto& stage : chains.back()) {
      ++chosen[stage.server.String()];
    }
  }
  cr_assert(chosen["s1"] > 270 && chosen["s1"] < 330);
  cr_assert_eq(chosen["s3"], 400);
}

Test(flow_policy, skips_excluded_servers_and_covers_partial_ranges)
{
  const auto routes = RoutesOf(UnevenServers());
  Router router{ fake::Random{ 3 } };
  const std::vector<route::ExcludedServer> excluded{ { ServerId{ "s1" },
                                                       Incarnation{ 1 } } };
  auto wanted = kAll;
  wanted.excluded = excluded;
  for (int request = 0; request < 20; ++request) {
    const auto chain = router.Choose(routes, wanted, Instant{});
    cr_assert(chain->front().server == ServerId{ "s2" });
  }
  wanted.layers = { 3, 9 };
  cr_assert(route::Covers(*router.Choose(routes, wanted, Instant{}), { 3, 9 }));
}

Test(flow_policy, chooses_the_cheapest_chain_without_a_flow)
{
  auto routes = RoutesOf(UnevenServers());
  routes.flow = {};
  Router router{ fake::Random{ 3 } };
  const auto chain = router.Choose(routes, kAll, Instant{});
  cr_assert(chain->front().server == ServerId{ "s1" });
}

Test(flow_policy, avoids_servers_without_enough_free_kv)
{
  auto servers = UnevenServers();
  servers[0].announcement.kvCapacityTokens = 1000;
  servers[0].announcement.load.kvTokensUsed = 900;
  const auto routes = RoutesOf(servers);
  Router router{ fake::Random{ 3 } };
  auto wanted = kAll;
  wanted.layers = { 0, 6 };
  wanted.kvTokens = 200;
  cr_assert(router.Choose(routes, wanted, Instant{})->front().server ==
            ServerId{ "s2" });
}

Test(in_flight, adds_own_requests_since_the_report_and_decays_old_reports)
{
  auto routes = RoutesOf(UnevenServers());
  auto& node = routes.graph.nodes.front();
  node.load.runningRequests = 10;
  node.reportedAt = Instant{} + std::chrono::seconds{ 1 };
  route::InFlight inFlight;
  const std::vector chain{ node.stage };
  cr_assert_eq(inFlight.Estimate(node, node.reportedAt), 10);
  inFlight.Add(chain);
  cr_assert_eq(inFlight.Estimate(node, node.reportedAt), 11);
  node.reportedAt += std::chrono::seconds{ 1 };
  cr_assert_eq(inFlight.Estimate(node, node.reportedAt), 10);
  const auto later = node.reportedAt + std::chrono::seconds{ 60 };
  cr_assert(inFlight.Estimate(node, later) < 1.1);
}

Test(plan, flow_is_kept_while_only_loads_change)
{
  auto pipeline = Verse();
  pipeline.id = PipelineId{ "verse" };
  config::Document document;
  document.pipelines[pipeline.id] = pipeline;
  auto servers = UnevenServers();
  auto table =
    route::Plan({}, { .document = document, .servers = servers, .links = {} });
  cr_assert_eq(route::PipelinesWithoutFlow(table).size(), 1);
  table.pipelines[pipeline.id].flowNumber = 7;
  servers[0].announcement.load.runningRequests = 5;
  table = route::Plan(
    table, { .document = document, .servers = servers, .links = {} });
  cr_assert(route::PipelinesWithoutFlow(table).empty());
  cr_assert_eq(table.pipelines[pipeline.id].graph.nodes[0].load.runningRequests,
               5);
  servers.pop_back();
  table = route::Plan(
    table, { .document = document, .servers = servers, .links = {} });
  cr_assert_eq(route::PipelinesWithoutFlow(table).size(), 1);
}
