#include "balsampoint/route/policy/flow_policy.hpp"
#include "balsampoint/route/policy/next_server_policy.hpp"
#include "report.hpp"
#include "route_cluster.hpp"

#include <chrono>

namespace {

using namespace balsampoint;
using bench::Bound;
using bench::Cluster;
using bench::Report;

/** Part of the bound that routing must reach. */
constexpr double kAim = 0.95;
/** Time between tokens that the users ask for; it sets the answers at once. */
constexpr double kTokenInterval = 0.030;

double
Seconds(std::chrono::steady_clock::time_point aSince)
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       aSince)
    .count();
}

template<typename Policy>
void
MeasureOutput(Report& aReport,
              const Cluster& aCluster,
              const route::Routes& aRoutes,
              const std::string& aPolicy,
              Bound aKind)
{
  const auto streams =
    static_cast<std::size_t>(aRoutes.flow.bound * kTokenInterval);
  const auto lifetime = aCluster.meanTokens * kTokenInterval;
  bench::Simulation<Policy> simulation{ aCluster, aRoutes };
  const auto output = simulation.Run(streams, 4 * lifetime, 10 * lifetime);
  const auto bound = route::MaxFlow(aRoutes.graph, output.shares).bound;
  aReport.Add({ .name = aCluster.name + ": " + aPolicy + ", of the bound",
                .value = output.tokensPerSecond / bound,
                .unit = "",
                .kind = aKind,
                .bound = kAim });
}

void
MeasureCluster(Report& aReport, const Cluster& aCluster)
{
  const auto routes = aCluster.Routes();
  aReport.Add({ .name = aCluster.name + ": bound",
                .value = routes.flow.bound,
                .unit = "tok/s" });
  MeasureOutput<route::FlowPolicy>(
    aReport, aCluster, routes, "flow", Bound::AtLeast);
  MeasureOutput<route::RandomPolicy>(
    aReport, aCluster, routes, "random", Bound::None);
  MeasureOutput<route::RoundRobinPolicy>(
    aReport, aCluster, routes, "round robin", Bound::None);
  MeasureOutput<route::LeastLoadedPolicy>(
    aReport, aCluster, routes, "least loaded", Bound::None);
}

void
MeasureTimes(Report& aReport, std::uint32_t aServers)
{
  const auto cluster = bench::Large(aServers);
  const auto begin = std::chrono::steady_clock::now();
  const auto routes = cluster.Routes();
  const auto name = std::to_string(aServers) + " servers: ";
  aReport.Add({ .name = name + "graph and flow",
                .value = Seconds(begin) * 1e3,
                .unit = "ms" });
  route::BasicRouter<route::FlowPolicy, fake::Random> router{ fake::Random{
    1 } };
  const route::Wish wish{ .layers = { 0, routes.graph.layers },
                          .entry = cluster.zones.front() };
  constexpr int kChoices = 20000;
  const auto start = std::chrono::steady_clock::now();
  for (int at = 0; at < kChoices; ++at) {
    const auto chain = router.Choose(routes, wish, Instant{}).value();
    router.Release(chain);
  }
  const auto perRequest = Seconds(start) / kChoices * 1e6;
  aReport.Add(
    { .name = name + "one choice", .value = perRequest, .unit = "us" });
  aReport.Add({ .name = name + "one choice, by token of its answer",
                .value = perRequest / (510000.0 / 2500.0) * 1e3,
                .unit = "ns" });
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Report report;
  MeasureCluster(report, bench::Ruhunu());
  MeasureCluster(report, bench::Sibiu());
  for (const auto servers : { 140U, 280U, 550U, 1100U }) {
    MeasureTimes(report, servers);
  }
  MeasureCluster(report, bench::Large(1100));
  return report.Finish({ aArguments, static_cast<std::size_t>(aCount) });
}
