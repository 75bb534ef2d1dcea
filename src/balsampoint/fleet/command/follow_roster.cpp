#include "balsampoint/fleet/command/follow_roster.hpp"

#include "balsampoint/fleet/internal/cost.hpp"
#include "balsampoint/routing/priorities.hpp"

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

/** @brief A server without work or faults, as far as its statement allows. */
Server
MakeServer(const State& aState, const roster::Claim& aClaim)
{
  Server server;
  const auto statement = aState.statements.find(aClaim.server);
  if (statement == aState.statements.end() ||
      statement->second.incarnation != aClaim.stamp.incarnation) {
    return server;
  }
  server.leaving = statement->second.leaving;
  server.backOffUntil = statement->second.backOffUntil;
  server.returning = server.backOffUntil != Instant::min();
  server.rateLimit = statement->second.rateLimit;
  server.rateStatedAt = statement->second.rateStatedAt;
  return server;
}

void
UpdateServer(const State& aState, Group& aGroup, const roster::Server& aSeen)
{
  const auto [found, added] = aGroup.servers.try_emplace(aSeen.claim.server);
  auto& server = found->second;
  if (added ||
      server.claim.stamp.incarnation != aSeen.claim.stamp.incarnation) {
    server = MakeServer(aState, aSeen.claim);
  }
  server.claim = aSeen.claim;
  server.ready = aSeen.TakesWork() && !server.leaving;
  ApplyProfile(server, aGroup);
}

/** @brief Drops the statements of servers that the roster has no more. */
void
ForgetStatements(State& aState, const roster::View& aView)
{
  if (aState.statements.empty()) {
    return;
  }
  std::set<ServerId> present;
  for (const auto& server : aView.servers) {
    present.insert(server.claim.server);
  }
  std::erase_if(aState.statements, [&](const auto& aEntry) {
    return !present.contains(aEntry.first);
  });
}

} // namespace

void
FollowRoster(State& aState,
             const roster::View& aView,
             const routing::Document& aDocument)
{
  for (const auto& entry : aDocument.services) {
    auto& group = aState.groups[entry.first];
    group.engine = entry.second.engine;
    group.competing = routing::RequestsCompete(aDocument, entry.first);
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
    UpdateServer(aState, group->second, server);
    seen.emplace(service, server.claim.server);
  }
  ForgetStatements(aState, aView);
  for (auto& group : aState.groups) {
    std::erase_if(group.second.servers, [&](const auto& aServer) {
      return !seen.contains({ group.first, aServer.first });
    });
  }
}

} // namespace balsampoint::fleet
