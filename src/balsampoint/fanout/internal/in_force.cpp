#include "balsampoint/fanout/internal/in_force.hpp"

namespace balsampoint::fanout::internal {

InForce
Describe(const State& aState, Instant aNow)
{
  const auto& settings = aState.settings;
  const auto settling = settings.silence + settings.interval;
  InForce inForce{ .number = aState.seen,
                   .complete = aState.leadingSince != kNever &&
                               aNow - aState.leadingSince >= settling };
  for (const auto& [host, known] : aState.directory) {
    const auto silence = aNow - known.heardAt;
    inForce.hosts.push_back(
      { known.report,
        known.report.reachable && silence <= settings.silence,
        silence });
  }
  return inForce;
}

} // namespace balsampoint::fanout::internal
