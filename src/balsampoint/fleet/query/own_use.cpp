#include "balsampoint/fleet/query/own_use.hpp"

namespace balsampoint::fleet {

usage::LocalUsage
OwnUse(const State& aState)
{
  usage::LocalUsage use;
  for (const auto& [service, group] : aState.groups) {
    for (const auto& [id, server] : group.servers) {
      if (server.own.passing == 0) {
        continue;
      }
      use.servers.push_back({ .server = id,
                              .passing = server.own.passing,
                              .sent = server.own.sent,
                              .kv = server.own.kv });
    }
  }
  return use;
}

} // namespace balsampoint::fleet
