#include "balsampoint/fleet/command/set_remote_usage.hpp"

#include "balsampoint/fleet/command/record_statement.hpp"

#include <map>

namespace balsampoint::fleet {

namespace {

void
SetRemoteServer(Server& aServer, const usage::ServerUsage& aUse, Instant aNow)
{
  aServer.remoteWork = { .passing = aUse.passing,
                         .sent = aUse.sent,
                         .kv = aUse.kv,
                         .waitingPrompt = aUse.waitingPrompt };
  aServer.remoteRecent = aUse.recent;
  if (aUse.rejection) {
    const auto at = aNow - aUse.rejection->age;
    if (at > aServer.remoteRejection.at) {
      aServer.remoteRejection = { at, aUse.rejection->fill };
    }
  }
  const auto& rate = aUse.rate;
  if (rate && rate->incarnation == aServer.claim.stamp.incarnation) {
    RecordRemoteRateLimit(aServer, rate->limit, aNow - rate->age, aNow);
  }
}

} // namespace

void
SetRemoteUsage(State& aState, const usage::RemoteUsage& aRemote, Instant aNow)
{
  aState.remoteUsageAt = aNow;
  aState.hosts = aRemote.hosts + 1;
  std::map<ServerId, const usage::ServerUsage*> uses;
  for (const auto& use : aRemote.servers) {
    uses[use.server] = &use;
  }
  const usage::ServerUsage none;
  for (auto& [service, group] : aState.groups) {
    group.remoteDemand = 0.0;
    for (auto& [id, server] : group.servers) {
      const auto found = uses.find(id);
      SetRemoteServer(
        server, found == uses.end() ? none : *found->second, aNow);
    }
  }
  for (const auto& use : aRemote.services) {
    const auto group = aState.groups.find(use.service);
    if (group != aState.groups.end()) {
      group->second.remoteDemand = use.demand;
    }
  }
}

} // namespace balsampoint::fleet
