#include "balsampoint/roster/internal/merge.hpp"

namespace balsampoint::roster::internal {

namespace {

/** @brief Whether two claims name the same address; a server that signed off
 * before any heartbeat has none. */
bool
ShareAddress(const Claim& aOne, const Claim& aOther)
{
  return !aOne.description.address.empty() &&
         aOne.description.address == aOther.description.address;
}

/** @brief Whether a server that started later uses the claim's address. */
bool
IsReplaced(const State& aState, const Claim& aClaim)
{
  for (const auto& [id, record] : aState.records) {
    if (id != aClaim.server && ShareAddress(record.claim, aClaim) &&
        record.claim.stamp.incarnation > aClaim.stamp.incarnation) {
      return true;
    }
  }
  return false;
}

/**
 * @brief Marks servers as gone whose address a server that started later
 * uses.
 */
void
RetireAtAddress(State& aState, const Claim& aClaim, Instant aNow)
{
  for (auto& [id, record] : aState.records) {
    if (id == aClaim.server || record.goneAt != kNever ||
        !ShareAddress(record.claim, aClaim) ||
        record.claim.stamp.incarnation >= aClaim.stamp.incarnation) {
      continue;
    }
    record.claim.presence = Presence::Gone;
    record.goneAt = aNow;
  }
}

bool
IsNewer(const Record& aKnown, const Claim& aClaim, const HostId& aOwner)
{
  const auto& known = aKnown.claim;
  if (known.presence == Presence::Gone &&
      known.stamp.incarnation == aClaim.stamp.incarnation) {
    return false;
  }
  if (aClaim.stamp != known.stamp) {
    return aClaim.stamp > known.stamp ||
           (aClaim.presence == Presence::Gone &&
            aClaim.stamp.incarnation == known.stamp.incarnation);
  }
  return aOwner == aKnown.owner ? aClaim != known
                                : aClaim.presence > known.presence;
}

} // namespace

bool
Merge(State& aState, const Claim& aClaim, const HostId& aOwner, Instant aNow)
{
  const auto found = aState.records.find(aClaim.server);
  if (found != aState.records.end() &&
      !IsNewer(found->second, aClaim, aOwner)) {
    return false;
  }
  if (found == aState.records.end() && IsReplaced(aState, aClaim)) {
    return false;
  }
  const auto gone = aClaim.presence == Presence::Gone ? aNow : kNever;
  // Control hosts number only the claims that they make themselves.
  const auto version =
    aState.role == Role::Control ? aState.version : ++aState.version;
  aState.records[aClaim.server] = { aClaim, aOwner, gone, version };
  ++aState.revision;
  RetireAtAddress(aState, aClaim, aNow);
  return true;
}

} // namespace balsampoint::roster::internal
