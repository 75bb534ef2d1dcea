#include "balsampoint/fleet/command/follow_roster.hpp"

#include "balsampoint/fleet/internal/cost.hpp"

#include <set>
#include <utility>

namespace balsampoint::fleet {

namespace {

void
ApplyProfile(Server& aServer, const Group& aGroup)
{
  if (!aGroup.engine) {
    return;
  }
  const auto& engine = *aGroup.engine;
  const auto kind = engine.kinds.find(aServer.claim.description.accelerator);
  if (kind != engine.kinds.end()) {
    aServer.stepFactor = kind->second.stepFactor;
    aServer.readFactor = kind->second.readFactor;
  }
  aServer.kvCapacity = internal::KvCapacity(engine, aServer.claim.description);
}

void
UpdateServer(Group& aGroup, const roster::Server& aSeen)
{
  auto& server = aGroup.servers[aSeen.claim.server];
  if (server.claim.stamp.incarnation != aSeen.claim.stamp.incarnation) {
    server = {};
  }
  server.claim = aSeen.claim;
  server.ready = aSeen.TakesWork() && !server.leaving;
  ApplyProfile(server, aGroup);
}

} // namespace

void
FollowRoster(State& aState,
             const roster::View& aView,
             const routing::Document& aDocument)
{
  for (const auto& entry : aDocument.services) {
    aState.groups[entry.first].engine = entry.second.engine;
  }
  std::erase_if(aState.groups, [&](const auto& aEntry) {
    return !aDocument.services.contains(aEntry.first);
  });
  std::set<std::pair<ServiceId, ServerId>> seen;
  for (const auto& server : aView.servers) {
    const auto& service = server.claim.description.service;
    const auto group = aState.groups.find(service);
    if (group == aState.groups.end()) {
      continue;
    }
    UpdateServer(group->second, server);
    seen.emplace(service, server.claim.server);
  }
  for (auto& group : aState.groups) {
    std::erase_if(group.second.servers, [&](const auto& aServer) {
      return !seen.contains({ group.first, aServer.first });
    });
  }
}

} // namespace balsampoint::fleet
