#include "balsampoint/roster/command/track_heartbeats.hpp"

#include "balsampoint/roster/command/confirm_departures.hpp"
#include "balsampoint/roster/internal/merge.hpp"

#include <algorithm>

namespace balsampoint::roster {

namespace {

/**
 * @brief Gives the claim a new version, so that the next update sends it to
 * all subscribers.
 */
void
AdvertiseClaim(State& aState, LocalServer& aLocal, Instant aNow)
{
  aLocal.version = ++aState.version;
  aLocal.advertisedStamp = aLocal.claim.stamp;
  internal::Merge(aState, aLocal.claim, aState.settings.self, aNow);
}

bool
IsStale(const State& aState, const Claim& aClaim)
{
  const auto record = aState.records.find(aClaim.server);
  if (record == aState.records.end()) {
    return false;
  }
  const auto& known = record->second.claim;
  const bool left = known.presence == Presence::Gone &&
                    known.stamp.incarnation == aClaim.stamp.incarnation;
  return left || aClaim.stamp < known.stamp;
}

void
RecordHeartbeat(State& aState, const Claim& aClaim, Instant aNow)
{
  if (IsStale(aState, aClaim)) {
    return;
  }
  const auto [found, added] = aState.localServers.try_emplace(aClaim.server);
  auto& local = found->second;
  if (!added && aClaim.stamp <= local.claim.stamp &&
      local.claim.presence != Presence::Silent) {
    return;
  }
  const bool changed =
    added || local.claim.presence != aClaim.presence ||
    local.claim.stamp.incarnation != aClaim.stamp.incarnation ||
    local.claim.description != aClaim.description;
  local.claim = aClaim;
  local.adopted = false;
  local.lastHeartbeatAt = aNow;
  const auto record = aState.records.find(aClaim.server);
  const bool owned = record != aState.records.end() &&
                     record->second.owner == aState.settings.self;
  if (changed || !owned) {
    AdvertiseClaim(aState, local, aNow);
    return;
  }
  record->second.claim.stamp = aClaim.stamp;
}

} // namespace

void
HandleHeartbeat(State& aState,
                const Heartbeat& aHeartbeat,
                Instant aNow,
                Actions& aActions)
{
  const auto& claim = aHeartbeat.claim;
  RecordHeartbeat(aState, claim, aNow);
  const auto local = aState.localServers.find(claim.server);
  // A stale heartbeat says nothing that isn't superseded.
  const auto version =
    local == aState.localServers.end() ? 0 : local->second.version;
  AnswerOnceCopied(aState, aHeartbeat.ticket, version, aNow, aActions);
}

void
ReadvertiseClaim(State& aState, const Claim& aClaim, Instant aNow)
{
  const auto found = aState.localServers.find(aClaim.server);
  if (found == aState.localServers.end()) {
    return;
  }
  auto& local = found->second;
  // A server whose heartbeat is not answered sends the same heartbeat to
  // another control host. Of two claims with equal stamps the one with the
  // worse presence wins.
  const bool supersedesAdvertised = local.advertisedStamp < aClaim.stamp ||
                                    (local.advertisedStamp == aClaim.stamp &&
                                     local.claim.presence < aClaim.presence);
  if (supersedesAdvertised && aClaim.stamp < local.claim.stamp) {
    AdvertiseClaim(aState, local, aNow);
  }
}

void
HandleSignedOff(State& aState,
                const SignedOff& aSignedOff,
                Instant aNow,
                Actions& aActions)
{
  const auto record = aState.records.find(aSignedOff.server);
  const bool known = record != aState.records.end();
  const auto newest =
    known ? record->second.claim.stamp.incarnation : Incarnation{};
  const auto incarnation = aSignedOff.incarnation.value_or(newest);
  if (!known && !aSignedOff.incarnation) {
    aActions.emplace_back(DepartureAnswered{ aSignedOff.ticket, false });
    return;
  }
  if (incarnation < newest) {
    aActions.emplace_back(DepartureAnswered{ aSignedOff.ticket, true });
    return;
  }
  auto& local = aState.localServers[aSignedOff.server];
  // A heartbeat that the incarnation sent before may still be on its way, to
  // this host or to another one.
  local.claim = known && incarnation == newest
                  ? record->second.claim
                  : Claim{ .server = aSignedOff.server,
                           .stamp = { .incarnation = incarnation } };
  local.claim.presence = Presence::Gone;
  local.lastHeartbeatAt = aNow;
  local.adopted = false;
  AdvertiseClaim(aState, local, aNow);
  AnswerOnceCopied(aState, aSignedOff.ticket, local.version, aNow, aActions);
}

void
ExpireHeartbeats(State& aState, Instant aNow)
{
  const auto heartbeatTimeout = aState.settings.heartbeatTimeout;
  for (auto& [id, local] : aState.localServers) {
    const bool due = !local.adopted &&
                     local.claim.presence <= Presence::Leaving &&
                     aNow - local.lastHeartbeatAt > heartbeatTimeout;
    if (!due) {
      continue;
    }
    local.claim.presence = Presence::Silent;
    AdvertiseClaim(aState, local, aNow);
  }
  std::erase_if(aState.localServers, [&](const auto& aEntry) {
    const auto& local = aEntry.second;
    return (local.adopted || local.claim.presence > Presence::Leaving) &&
           aNow - local.lastHeartbeatAt > aState.settings.serverRetention;
  });
  aState.revision += std::erase_if(aState.records, [&](const auto& aEntry) {
    return aEntry.second.goneAt != kNever &&
           aNow - aEntry.second.goneAt > aState.settings.serverRetention;
  });
}

} // namespace balsampoint::roster
