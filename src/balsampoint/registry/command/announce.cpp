#include "balsampoint/registry/command/announce.hpp"

#include "balsampoint/registry/internal/change.hpp"
#include "balsampoint/registry/internal/contact.hpp"
#include "balsampoint/registry/internal/validate.hpp"

#include <algorithm>
#include <cstddef>

namespace balsampoint::registry {

namespace {

tl::expected<void, Error>
CheckConflict(const Record& aRecord, const Announcement& aAnnouncement)
{
  const auto& known = aRecord.announcement;
  if (aAnnouncement.incarnation < aRecord.claim.stamp.incarnation) {
    return Refuse(ErrorKind::Conflict,
                  "the announcement is of an older incarnation of the server");
  }
  if (!aRecord.claim.live || aAnnouncement.incarnation > known.incarnation) {
    return {};
  }
  if (aAnnouncement.address != known.address) {
    return Refuse(ErrorKind::Conflict,
                  "the server id is in use at " + known.address);
  }
  if (known.state == ServerState::Leaving &&
      aAnnouncement.state == ServerState::Ready) {
    return Refuse(
      ErrorKind::Conflict,
      "a leaving server can become ready only in a new incarnation");
  }
  return {};
}

bool
EqualsExceptLoad(const Announcement& aLeft, Announcement aRight)
{
  aRight.load = aLeft.load;
  return aLeft == aRight;
}

std::ptrdiff_t
CountOwnedBy(const State& aState, const HostId& aHost)
{
  return std::ranges::count_if(aState.records, [&](const auto& aEntry) {
    const auto& claim = aEntry.second.claim;
    return claim.live && claim.owner == aHost;
  });
}

/** Whether the owner leases so many more servers than this host that this host
 * takes the lease over. */
bool
BalancesLeases(const State& aState, const HostId& aOwner)
{
  constexpr std::ptrdiff_t kMinImbalance = 3;
  return CountOwnedBy(aState, aOwner) >=
         CountOwnedBy(aState, aState.settings.self) + kMinImbalance;
}

void
Renew(State& aState, Record& aRecord, Instant aNow)
{
  const auto& server = aRecord.announcement.server;
  const auto& owner = aRecord.claim.owner;
  if (owner == aState.settings.self) {
    aRecord.expiry = aNow + aState.settings.lease;
    internal::MarkLoad(aState, server, aNow);
    return;
  }
  if (internal::IsReachable(aState, owner, aNow) &&
      !BalancesLeases(aState, owner)) {
    internal::MarkRenewal(aState, server, aNow);
    return;
  }
  internal::TakeLease(aState, aRecord, aNow);
}

void
Accept(State& aState, Record& aRecord, Incarnation aIncarnation, Instant aNow)
{
  auto& stamp = aRecord.claim.stamp;
  if (aIncarnation > stamp.incarnation) {
    stamp = { .incarnation = aIncarnation };
    aRecord.health = {};
  }
  internal::TakeLease(aState, aRecord, aNow);
}

} // namespace

tl::expected<Duration, Error>
Announce(State& aState, const Announcement& aAnnouncement, Instant aNow)
{
  if (auto valid = internal::Validate(aState, aAnnouncement); !valid) {
    return tl::unexpected(valid.error());
  }
  const auto found = aState.records.find(aAnnouncement.server);
  const bool known = found != aState.records.end();
  if (!known && aState.records.size() >= aState.settings.capacity) {
    return Refuse(ErrorKind::Overloaded, "the registry is full");
  }
  if (known) {
    if (auto valid = CheckConflict(found->second, aAnnouncement); !valid) {
      return tl::unexpected(valid.error());
    }
  }
  auto& record = aState.records[aAnnouncement.server];
  const bool renewal = known && record.claim.live &&
                       EqualsExceptLoad(record.announcement, aAnnouncement);
  record.announcement = aAnnouncement;
  record.lastAnnouncedAt = aNow;
  record.reportedAt = aNow;
  if (renewal) {
    Renew(aState, record, aNow);
  } else {
    Accept(aState, record, aAnnouncement.incarnation, aNow);
  }
  return aState.settings.lease;
}

} // namespace balsampoint::registry
