#include "balsampoint/fleet/command/forget_unreachable.hpp"

namespace balsampoint::fleet {

void
ForgetUnreachable(State& aState)
{
  for (auto& [service, group] : aState.groups) {
    for (auto& [id, server] : group.servers) {
      server.unreachableUntil = Instant::min();
      server.failedConnections = 0;
    }
  }
}

} // namespace balsampoint::fleet
