#include "balsampoint/roster/command/hear.hpp"

#include "balsampoint/roster/internal/merge.hpp"

#include <algorithm>

namespace balsampoint::roster {

namespace {

/**
 * @brief Gives the claim a new version, so that the next update sends it to
 * all subscribers.
 */
void
Assert(State& aState, Heard& aHeard, Instant aNow)
{
  aHeard.version = ++aState.version;
  aHeard.told = aHeard.claim.stamp;
  internal::Merge(aState, aHeard.claim, aState.settings.self, aNow);
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
  const auto [found, added] = aState.heard.try_emplace(claim.server);
  auto& heard = found->second;
  if (!added && claim.stamp <= heard.claim.stamp &&
      heard.claim.presence != Presence::Silent) {
    return;
  }
  const bool changed =
    added || heard.claim.presence != claim.presence ||
    heard.claim.stamp.incarnation != claim.stamp.incarnation ||
    heard.claim.description != claim.description;
  heard.claim = claim;
  heard.at = aNow;
  const auto record = aState.records.find(claim.server);
  const bool owned = record != aState.records.end() &&
                     record->second.owner == aState.settings.self;
  if (changed || !owned) {
    Assert(aState, heard, aNow);
    return;
  }
  record->second.claim.stamp = claim.stamp;
}

void
ClaimAgain(State& aState, const Claim& aClaim, Instant aNow)
{
  const auto found = aState.heard.find(aClaim.server);
  if (found == aState.heard.end()) {
    return;
  }
  auto& heard = found->second;
  // A server whose heartbeat is not answered sends the same heartbeat to
  // another control host. Of two claims with equal stamps the one with the
  // worse presence wins.
  const bool hidesWhatWasTold =
    heard.told < aClaim.stamp ||
    (heard.told == aClaim.stamp && heard.claim.presence < aClaim.presence);
  if (hidesWhatWasTold && aClaim.stamp < heard.claim.stamp) {
    Assert(aState, heard, aNow);
  }
}

void
HandleSignedOff(State& aState, const SignedOff& aSignedOff, Instant aNow)
{
  const auto record = aState.records.find(aSignedOff.server);
  if (record == aState.records.end()) {
    return;
  }
  if (aSignedOff.incarnation &&
      *aSignedOff.incarnation < record->second.claim.stamp.incarnation) {
    return;
  }
  auto& heard = aState.heard[aSignedOff.server];
  heard.claim = record->second.claim;
  heard.claim.presence = Presence::Gone;
  heard.at = aNow;
  Assert(aState, heard, aNow);
}

void
NoteSilence(State& aState, Instant aNow)
{
  const auto silence = aState.settings.silence;
  for (auto& [id, heard] : aState.heard) {
    const bool due =
      heard.claim.presence <= Presence::Leaving && aNow - heard.at > silence;
    if (!due) {
      continue;
    }
    heard.claim.presence = Presence::Silent;
    Assert(aState, heard, aNow);
  }
  std::erase_if(aState.heard, [&](const auto& aEntry) {
    return aEntry.second.claim.presence > Presence::Leaving &&
           aNow - aEntry.second.at > aState.settings.memory;
  });
  std::erase_if(aState.records, [&](const auto& aEntry) {
    return aEntry.second.goneAt != kNever &&
           aNow - aEntry.second.goneAt > aState.settings.memory;
  });
}

} // namespace balsampoint::roster
