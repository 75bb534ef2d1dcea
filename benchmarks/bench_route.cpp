#include "balsampoint/route/policy/flow_policy.hpp"
#include "balsampoint/route/policy/next_server_policy.hpp"
#include "report.hpp"
#include "route_cluster.hpp"

#include <chrono>

namespace {

using namespace balsampoint;
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

/** Tokens a second under a policy as a part of the bound. */
template<typename Policy>
double
PartOfBound(const Cluster& aCluster, const route::Routes& aRoutes)
{
  const auto streams =
    static_cast<std::size_t>(aRoutes.flow.bound * kTokenInterval);
  const auto lifetime = aCluster.meanTokens * kTokenInterval;
  bench::Simulation<Policy> simulation{ aCluster, aRoutes };
  const auto output = simulation.Run(streams, 2 * lifetime, 4 * lifetime);
  const auto bound = route::MaxFlow(aRoutes.graph, output.shares).bound;
  return output.tokensPerSecond / bound;
}

void
MeasureCluster(Report& aReport, const Cluster& aCluster)
{
  const auto routes = aCluster.Routes();
  const auto& name = aCluster.name;
  aReport.Add(name + ": bound", routes.flow.bound, "tok/s");
  aReport.AtLeast(name + ": flow, of the bound",
                  PartOfBound<route::FlowPolicy>(aCluster, routes),
                  "",
                  kAim,
                  "aim of 95 % of the maximum flow");
  aReport.Add(name + ": random, of the bound",
              PartOfBound<route::RandomPolicy>(aCluster, routes),
              "");
  aReport.Add(name + ": round robin, of the bound",
              PartOfBound<route::RoundRobinPolicy>(aCluster, routes),
              "");
  aReport.Add(name + ": least loaded, of the bound",
              PartOfBound<route::LeastLoadedPolicy>(aCluster, routes),
              "");
}

void
MeasureTimes(Report& aReport, std::uint32_t aServers)
{
  constexpr double kMilli = 1e3;
  constexpr double kMicro = 1e6;
  constexpr double kNano = 1e9;
  constexpr double kTokensPerRequest = 510000.0 / 2500.0;
  const auto cluster = bench::Large(aServers);
  const auto begin = std::chrono::steady_clock::now();
  const auto routes = cluster.Routes();
  const auto size = std::to_string(aServers) + " servers";
  aReport.Add("flow, " + size, Seconds(begin) * kMilli, "ms");
  route::BasicRouter<route::FlowPolicy, fake::Random> router{ fake::Random{
    1 } };
  const route::RouteRequest request{ .layers = { 0, routes.graph.layers },
                                     .entry = cluster.zones.front() };
  constexpr int kChoices = 20000;
  const auto start = std::chrono::steady_clock::now();
  for (int at = 0; at < kChoices; ++at) {
    const auto chain = router.Choose(routes, request, Instant{}).value();
    router.Release(chain);
  }
  const auto choice = Seconds(start) / kChoices;
  aReport.Add("choice by request, " + size, choice * kMicro, "us");
  aReport.Add(
    "choice by token, " + size, choice / kTokensPerRequest * kNano, "ns");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Report report{ "route", { aArguments, static_cast<std::size_t>(aCount) } };
  MeasureCluster(report, bench::Ruhunu());
  MeasureCluster(report, bench::Sibiu());
  for (const auto servers : { 140U, 280U, 550U, 1100U }) {
    MeasureTimes(report, servers);
  }
  MeasureCluster(report, bench::Large(1100));
  return report.Finish();
}
