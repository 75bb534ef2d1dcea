#include "balsampoint/fanout/internal/in_force.hpp"

namespace balsampoint::fanout::internal {

InForce
Describe(const State& aState, Instant aNow)
{
  const auto& settings = aState.settings;
  const auto settling = settings.contactTimeout + settings.heartbeatInterval;
  InForce inForce{ .number = aState.newestKnown,
                   .complete = aState.leadingSince != kNever &&
                               aNow - aState.leadingSince >= settling };
  for (const auto& [host, known] : aState.directory) {
    const auto sinceLastContact = aNow - known.lastReceivedAt;
    inForce.hosts.push_back(
      { known.report,
        known.report.reachable && sinceLastContact <= settings.contactTimeout,
        sinceLastContact });
  }
  return inForce;
}

} // namespace balsampoint::fanout::internal
