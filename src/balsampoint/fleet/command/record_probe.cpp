#include "balsampoint/fleet/command/record_probe.hpp"

namespace balsampoint::fleet {

void
RecordProbe(State& aState,
            const ServiceId& aService,
            const ServerId& aServer,
            Instant aNow)
{
  const auto group = aState.groups.find(aService);
  if (group == aState.groups.end()) {
    return;
  }
  const auto server = group->second.servers.find(aServer);
  if (server != group->second.servers.end()) {
    server->second.probedAt = aNow;
  }
}

} // namespace balsampoint::fleet
