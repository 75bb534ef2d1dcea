#include "balsampoint/route/query/max_flow.hpp"

#include "../servers.hpp"

#include <cmath>
#include <criterion/criterion.h>

using namespace balsampoint;
using fake::Holder;
using fake::Verse;

namespace {

route::Flow
FlowOf(std::vector<registry::Server> aServers,
       std::vector<route::Link> aLinks = {})
{
  const auto graph = route::Graph::Make(Verse(), aServers, aLinks);
  return route::MaxFlow(graph, route::EqualShares(graph));
}

bool
Near(double aValue, double aExpected)
{
  return std::abs(aValue - aExpected) <= 0.002 * aExpected;
}

/** Checks that paths cover all layers in order and exceed no capacity. */
void
AssertFeasible(const route::Flow& aFlow)
{
  std::vector<double> used(aFlow.groups.size());
  for (const auto& path : aFlow.paths) {
    std::uint32_t next = 0;
    for (const auto& hop : path.hops) {
      cr_assert_eq(hop.layers.begin, next);
      next = hop.layers.end;
      used[hop.group] += path.tokensPerSecond * hop.layers.Size();
    }
    cr_assert_eq(next, 12);
  }
  for (std::size_t group = 0; group < used.size(); ++group) {
    const auto capacity = aFlow.groups[group].layerTokensPerSecond;
    cr_assert(used[group] <= capacity * 1.0001);
  }
}

} // namespace

Test(max_flow, equals_the_capacity_of_the_layers_with_the_least)
{
  const auto flow = FlowOf(
    { Holder("s1", { 0, 6 }, "a", 600), Holder("s2", { 6, 12 }, "a", 240) });
  cr_assert(Near(flow.tokensPerSecond, 40));
  cr_assert(Near(flow.bound, 40));
  AssertFeasible(flow);
}

Test(max_flow, uses_only_the_layers_run_on_a_server_entered_midway)
{
  const auto flow = FlowOf({ Holder("s1", { 0, 6 }, "a", 600),
                             Holder("s2", { 6, 12 }, "a", 300),
                             Holder("s3", { 0, 12 }, "a", 300) });
  cr_assert(Near(flow.tokensPerSecond, 100));
  AssertFeasible(flow);
}

Test(max_flow, is_limited_by_links_between_zones)
{
  const std::vector<registry::Server> servers{
    Holder("s1", { 0, 6 }, "a", 6000), Holder("s2", { 6, 12 }, "b", 6000)
  };
  const std::vector<route::Link> links{
    { .one = ZoneId{ "a" }, .other = ZoneId{ "b" }, .bytesPerSecond = 50000 }
  };
  const auto flow = FlowOf(servers, links);
  cr_assert(Near(flow.tokensPerSecond, 50));
  cr_assert(Near(FlowOf(servers).tokensPerSecond, 1000));
}

Test(max_flow, has_no_paths_when_a_layer_has_no_server)
{
  const auto flow = FlowOf({ Holder("s1", { 0, 6 }) });
  cr_assert(flow.paths.empty());
  cr_assert_eq(flow.bound, 0);
}
