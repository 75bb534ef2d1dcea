#include "balsampoint/registry/command/expire.hpp"

#include "balsampoint/registry/internal/change.hpp"
#include "balsampoint/registry/internal/contact.hpp"

namespace balsampoint::registry {

namespace {

void
EndLease(State& aState, Record& aRecord, Instant aNow)
{
  aRecord.claim.live = false;
  ++aRecord.claim.stamp.version;
  aRecord.expiry = aNow + aState.settings.lossRetention;
  internal::MarkChanged(aState, aRecord.announcement.server, aNow);
}

void
Hide(State& aState, Record& aRecord, Instant aNow)
{
  if (internal::AnnouncedRecently(aState, aRecord, aNow)) {
    internal::TakeLease(aState, aRecord, aNow);
    return;
  }
  aRecord.hidden = true;
  aRecord.expiry = aNow + aState.settings.lossRetention;
  internal::ScheduleView(aState, aNow);
}

/** Expires the records of hosts that are unreachable although membership still
 * lists them. */
void
ExpireContacts(State& aState, Instant aNow)
{
  for (auto& [id, record] : aState.records) {
    const auto& owner = record.claim.owner;
    const bool foreign = owner != aState.settings.self;
    if (record.Visible() && foreign && record.expiry == kNever &&
        !internal::IsReachable(aState, owner, aNow)) {
      record.expiry = aNow;
    }
  }
}

} // namespace

void
Expire(State& aState, Instant aNow)
{
  ExpireContacts(aState, aNow);
  for (auto at = aState.records.begin(); at != aState.records.end();) {
    auto& record = at->second;
    if (record.expiry > aNow) {
      ++at;
      continue;
    }
    if (!record.Visible()) {
      at = aState.records.erase(at);
      continue;
    }
    if (record.claim.owner == aState.settings.self) {
      EndLease(aState, record, aNow);
    } else {
      Hide(aState, record, aNow);
    }
    ++at;
  }
  const auto forgotten =
    std::erase_if(aState.summaries, [&](const auto& aEntry) {
      return aEntry.second.expiry <= aNow;
    });
  if (forgotten > 0) {
    internal::ScheduleView(aState, aNow);
  }
}

} // namespace balsampoint::registry
