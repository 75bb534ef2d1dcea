#include "balsampoint/fleet/command/record_statement.hpp"

#include "balsampoint/fleet/internal/find_server.hpp"

#include <utility>

namespace balsampoint::fleet {

bool
RecordLeaving(State& aState, const ServiceId& aService, const Hop& aHop)
{
  auto* server = internal::FindServer(aState, aService, aHop);
  if (server == nullptr || server->leaving) {
    return false;
  }
  server->leaving = true;
  server->ready = false;
  return true;
}

bool
RecordBackOff(State& aState,
              const ServiceId& aService,
              const Hop& aHop,
              Instant aUntil)
{
  auto* server = internal::FindServer(aState, aService, aHop);
  if (server == nullptr || aUntil <= server->backOffUntil) {
    return false;
  }
  server->backOffUntil = aUntil;
  server->returning = true;
  return true;
}

} // namespace balsampoint::fleet
