#include "balsampoint/roster/command/track_heartbeats.hpp"

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

} // namespace

void
HandleHeartbeat(State& aState, const Heartbeat& aHeartbeat, Instant aNow)
{
  const auto& claim = aHeartbeat.claim;
  if (IsStale(aState, claim)) {
    return;
  }
  const auto [found, added] = aState.localServers.try_emplace(claim.server);
  auto& local = found->second;
  if (!added && claim.stamp <= local.claim.stamp &&
      local.claim.presence != Presence::Silent) {
    return;
  }
  const bool changed =
    added || local.claim.presence != claim.presence ||
    local.claim.stamp.incarnation != claim.stamp.incarnation ||
    local.claim.description != claim.description;
  local.claim = claim;
  local.lastHeartbeatAt = aNow;
  const auto record = aState.records.find(claim.server);
  const bool owned = record != aState.records.end() &&
                     record->second.owner == aState.settings.self;
  if (changed || !owned) {
    AdvertiseClaim(aState, local, aNow);
    return;
  }
  record->second.claim.stamp = claim.stamp;
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
HandleSignedOff(State& aState, const SignedOff& aSignedOff, Instant aNow)
{
  const auto record = aState.records.find(aSignedOff.server);
  const bool known = record != aState.records.end();
  const auto newest =
    known ? record->second.claim.stamp.incarnation : Incarnation{};
  const auto incarnation = aSignedOff.incarnation.value_or(newest);
  if (incarnation < newest || (!known && !aSignedOff.incarnation)) {
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
  AdvertiseClaim(aState, local, aNow);
}

void
ExpireHeartbeats(State& aState, Instant aNow)
{
  const auto heartbeatTimeout = aState.settings.heartbeatTimeout;
  for (auto& [id, local] : aState.localServers) {
    const bool due = local.claim.presence <= Presence::Leaving &&
                     aNow - local.lastHeartbeatAt > heartbeatTimeout;
    if (!due) {
      continue;
    }
    local.claim.presence = Presence::Silent;
    AdvertiseClaim(aState, local, aNow);
  }
  std::erase_if(aState.localServers, [&](const auto& aEntry) {
    return aEntry.second.claim.presence > Presence::Leaving &&
           aNow - aEntry.second.lastHeartbeatAt >
             aState.settings.serverRetention;
  });
  aState.revision += std::erase_if(aState.records, [&](const auto& aEntry) {
    return aEntry.second.goneAt != kNever &&
           aNow - aEntry.second.goneAt > aState.settings.serverRetention;
  });
}

} // namespace balsampoint::roster
