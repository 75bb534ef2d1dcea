#include "balsampoint/fleet/command/share_use.hpp"

#include <map>

namespace balsampoint::fleet {

void
TakeOthers(State& aState, const usage::RemoteUsage& aOthers)
{
  std::map<ServerId, const usage::ServerUsage*> uses;
  for (const auto& use : aOthers.servers) {
    uses[use.server] = &use;
  }
  for (auto& [service, group] : aState.groups) {
    for (auto& [id, server] : group.servers) {
      const auto found = uses.find(id);
      server.others = found == uses.end()
                        ? Work{}
                        : Work{ .passing = found->second->passing,
                                .sent = found->second->sent,
                                .kv = found->second->kv };
    }
  }
}

} // namespace balsampoint::fleet
