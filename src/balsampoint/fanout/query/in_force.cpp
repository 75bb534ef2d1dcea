#include "balsampoint/fanout/query/in_force.hpp"

#include <algorithm>

namespace balsampoint::fanout {

bool
InForce::Everywhere(ChangeNumber aNumber) const
{
  return complete &&
         std::ranges::all_of(hosts, [aNumber](const HostInForce& aHost) {
           return !aHost.reachable || aHost.report.number >= aNumber;
         });
}

InForce
DescribeInForce(const State& aState, Instant aNow)
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

} // namespace balsampoint::fanout
