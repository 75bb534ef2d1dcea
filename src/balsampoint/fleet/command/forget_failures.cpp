#include "balsampoint/fleet/command/forget_failures.hpp"

namespace balsampoint::fleet {

void
ForgetFailures(State& aState)
{
  for (auto& [service, group] : aState.groups) {
    for (auto& [id, server] : group.servers) {
      server.unreachableUntil = Instant::min();
      server.avoidUntil = Instant::min();
      server.failedConnections = 0;
      server.brokenAnswers = 0;
      server.avoidances = 0;
      server.failureRate = 0.0;
    }
  }
}

} // namespace balsampoint::fleet
