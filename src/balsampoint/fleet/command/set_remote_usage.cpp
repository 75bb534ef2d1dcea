#include "balsampoint/fleet/command/set_remote_usage.hpp"

#include <map>

namespace balsampoint::fleet {

void
SetRemoteUsage(State& aState, const usage::RemoteUsage& aRemote)
{
  std::map<ServerId, const usage::ServerUsage*> uses;
  for (const auto& use : aRemote.servers) {
    uses[use.server] = &use;
  }
  for (auto& [service, group] : aState.groups) {
    for (auto& [id, server] : group.servers) {
      const auto found = uses.find(id);
      server.remoteWork = found == uses.end()
                            ? Work{}
                            : Work{ .passing = found->second->passing,
                                    .sent = found->second->sent,
                                    .kv = found->second->kv };
    }
  }
}

} // namespace balsampoint::fleet
