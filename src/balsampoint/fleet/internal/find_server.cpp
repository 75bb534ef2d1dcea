#include "balsampoint/fleet/internal/find_server.hpp"

namespace balsampoint::fleet::internal {

Server*
FindServer(State& aState, const ServiceId& aService, const Hop& aHop)
{
  const auto group = aState.groups.find(aService);
  if (group == aState.groups.end()) {
    return nullptr;
  }
  const auto server = group->second.servers.find(aHop.server);
  const bool same = server != group->second.servers.end() &&
                    server->second.claim.stamp.incarnation == aHop.incarnation;
  return same ? &server->second : nullptr;
}

} // namespace balsampoint::fleet::internal
