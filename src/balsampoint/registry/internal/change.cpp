#include "balsampoint/registry/internal/change.hpp"

#include <algorithm>

namespace balsampoint::registry::internal {

namespace {

/** The earliest time that is at least an interval after the last one. */
Instant
After(Instant aLast, Duration aInterval, Instant aNow)
{
  return aLast == Instant::min() ? aNow : std::max(aNow, aLast + aInterval);
}

} // namespace

Duration
LoadBroadcastInterval(const State& aState)
{
  const auto receivers = static_cast<Duration::rep>(aState.zoneHosts.size());
  return std::max(aState.settings.minLoadBroadcast,
                  aState.settings.loadBroadcastPerHost * receivers);
}

void
MarkChanged(State& aState, const ServerId& aServer, Instant aNow)
{
  auto& outbox = aState.outbox;
  outbox.deltas.insert(aServer);
  const auto interval = aState.settings.deltaInterval;
  outbox.deltaAt =
    std::min(outbox.deltaAt, After(outbox.lastDeltaAt, interval, aNow));
  outbox.summaryAt = std::min(
    outbox.summaryAt,
    After(outbox.lastSummaryAt, aState.settings.minSummaryInterval, aNow));
  ScheduleView(aState, aNow);
}

void
MarkLoad(State& aState, const ServerId& aServer, Instant aNow)
{
  auto& outbox = aState.outbox;
  outbox.loads.insert(aServer);
  const auto receivers = static_cast<Duration::rep>(aState.zoneHosts.size());
  const auto interval =
    std::max(aState.settings.minLoadBroadcast,
             aState.settings.loadBroadcastPerHost * receivers);
  outbox.loadAt =
    std::min(outbox.loadAt, After(outbox.lastLoadAt, interval, aNow));
  ScheduleView(aState, aNow + aState.settings.loadInterval);
}

void
MarkRenewal(State& aState, const ServerId& aServer, Instant aNow)
{
  auto& outbox = aState.outbox;
  outbox.renewals.insert(aServer);
  outbox.renewalAt =
    std::min(outbox.renewalAt, aNow + aState.settings.renewalInterval);
  ScheduleView(aState, aNow + aState.settings.loadInterval);
}

void
ScheduleView(State& aState, Instant aDue)
{
  aState.publishAt = std::min(aState.publishAt, aDue);
}

void
TakeLease(State& aState, Record& aRecord, Instant aNow)
{
  ++aRecord.claim.stamp.version;
  aRecord.claim.owner = aState.settings.self;
  aRecord.claim.live = true;
  aRecord.hidden = false;
  aRecord.expiry =
    aRecord.lastAnnouncedAt.value_or(aNow) + aState.settings.lease;
  MarkChanged(aState, aRecord.announcement.server, aNow);
}

bool
AnnouncedRecently(const State& aState, const Record& aRecord, Instant aNow)
{
  return aRecord.lastAnnouncedAt &&
         *aRecord.lastAnnouncedAt + aState.settings.lease > aNow;
}

} // namespace balsampoint::registry::internal
