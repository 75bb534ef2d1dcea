#include "balsampoint/route/in_flight.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace balsampoint::route {

namespace {

/** Age in seconds at which the weight of a report has decayed to 1/e. */
constexpr std::chrono::duration<double> kReportFade{ 10.0 };

} // namespace

void
InFlight::Add(std::span<const Stage> aChain)
{
  for (const auto& stage : aChain) {
    ++mServers[stage.server].now;
  }
}

void
InFlight::Remove(std::span<const Stage> aChain)
{
  for (const auto& stage : aChain) {
    const auto found = mServers.find(stage.server);
    if (found == mServers.end() || found->second.now == 0) {
      continue;
    }
    --found->second.now;
  }
}

double
InFlight::Estimate(const Node& aNode, Instant aNow)
{
  auto& work = mServers[aNode.stage.server];
  if (work.reportedAt != aNode.reportedAt) {
    work.reportedAt = aNode.reportedAt;
    work.atReport = work.now;
  }
  const double reported =
    aNode.load.runningRequests + aNode.load.queuedRequests;
  const auto others = std::max(0.0, reported - work.atReport);
  const std::chrono::duration<double> age = aNow - aNode.reportedAt;
  const auto fade = std::exp(-std::max(0.0, age / kReportFade));
  return others * fade + work.now;
}

} // namespace balsampoint::route
