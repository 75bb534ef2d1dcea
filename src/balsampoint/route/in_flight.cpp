#include "balsampoint/route/in_flight.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace balsampoint::route {

namespace {

/** Age in seconds at which the weight of a report has decayed to 1/e. */
constexpr std::chrono::duration<double> kReportDecayTime{ 10.0 };

} // namespace

void
InFlight::Add(std::span<const Stage> aChain)
{
  for (const auto& stage : aChain) {
    ++mServers[stage.server].current;
  }
}

void
InFlight::Remove(std::span<const Stage> aChain)
{
  for (const auto& stage : aChain) {
    const auto found = mServers.find(stage.server);
    if (found == mServers.end() || found->second.current == 0) {
      continue;
    }
    --found->second.current;
  }
}

double
InFlight::Estimate(const Node& aNode, Instant aNow)
{
  auto& count = mServers[aNode.stage.server];
  if (count.reportedAt != aNode.reportedAt) {
    count.reportedAt = aNode.reportedAt;
    count.ownAtReport = count.current;
  }
  const double reported =
    aNode.load.runningRequests + aNode.load.queuedRequests;
  const auto others = std::max(0.0, reported - count.ownAtReport);
  const std::chrono::duration<double> age = aNow - aNode.reportedAt;
  const auto weight = std::exp(-std::max(0.0, age / kReportDecayTime));
  return others * weight + count.current;
}

} // namespace balsampoint::route
