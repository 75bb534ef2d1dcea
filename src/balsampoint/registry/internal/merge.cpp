#include "balsampoint/registry/internal/merge.hpp"

#include "balsampoint/registry/internal/change.hpp"

namespace balsampoint::registry::internal {

namespace {

bool
IsNewer(const State& aState, const Entry& aEntry)
{
  const auto& owner = aEntry.claim.owner;
  const auto found = aState.records.find(aEntry.announcement.server);
  if (found != aState.records.end()) {
    return aEntry.claim > found->second.claim;
  }
  return aEntry.claim.live &&
         (owner == aState.settings.self || aState.zoneHosts.contains(owner)) &&
         aState.records.size() < aState.settings.capacity;
}

Instant
ExpiryOf(const State& aState, const Claim& aClaim, Instant aNow)
{
  if (!aClaim.live) {
    return aNow + aState.settings.lossRetention;
  }
  return aState.zoneHosts.contains(aClaim.owner) ? kNever
                                                 : aNow + aState.settings.lease;
}

} // namespace

void
Merge(State& aState, const Entry& aEntry, Instant aNow)
{
  if (!IsNewer(aState, aEntry)) {
    return;
  }
  auto& record = aState.records[aEntry.announcement.server];
  const bool restarted =
    aEntry.claim.stamp.incarnation > record.claim.stamp.incarnation;
  const bool refuted =
    !aEntry.claim.live && !restarted && AnnouncedRecently(aState, record, aNow);
  record.claim = aEntry.claim;
  if (refuted) {
    TakeLease(aState, record, aNow);
    return;
  }
  if (restarted) {
    record.health = {};
    record.lastAnnouncedAt.reset();
  }
  record.announcement = aEntry.announcement;
  record.reportedAt = aNow;
  record.hidden = false;
  record.expiry = ExpiryOf(aState, record.claim, aNow);
  ScheduleView(aState, aNow);
}

} // namespace balsampoint::registry::internal
