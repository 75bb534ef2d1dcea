#include "balsampoint/fleet/query/make_local_usage.hpp"

namespace balsampoint::fleet {

usage::LocalUsage
MakeLocalUsage(const State& aState)
{
  usage::LocalUsage use;
  for (const auto& [service, group] : aState.groups) {
    for (const auto& [id, server] : group.servers) {
      if (server.localWork.passing == 0) {
        continue;
      }
      use.servers.push_back({ .server = id,
                              .passing = server.localWork.passing,
                              .sent = server.localWork.sent,
                              .kv = server.localWork.kv });
    }
  }
  return use;
}

} // namespace balsampoint::fleet
