#include "balsampoint/registry/command/announce.hpp"

#include "balsampoint/registry/internal/validate.hpp"

#include <algorithm>

namespace balsampoint::registry {

namespace {

tl::expected<void, Error>
CheckAgainst(const Record& aRecord, const Announcement& aAnnouncement)
{
  const auto& known = aRecord.announcement;
  if (aAnnouncement.incarnation < aRecord.stamp.incarnation) {
    return Refuse(ErrorKind::Conflict,
                  "the announcement is from before the server's last restart");
  }
  if (!aRecord.live || aAnnouncement.incarnation > known.incarnation) {
    return {};
  }
  if (aAnnouncement.address != known.address) {
    return Refuse(ErrorKind::Conflict,
                  "the server id is in use at " + known.address);
  }
  if (known.state == ServerState::Leaving &&
      aAnnouncement.state == ServerState::Ready) {
    return Refuse(ErrorKind::Conflict,
                  "a leaving server returns only with a new incarnation");
  }
  return {};
}

bool
SameButForLoad(const Announcement& aLeft, Announcement aRight)
{
  aRight.load = aLeft.load;
  return aLeft == aRight;
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
    if (auto valid = CheckAgainst(found->second, aAnnouncement); !valid) {
      return tl::unexpected(valid.error());
    }
  }
  auto& record = aState.records[aAnnouncement.server];
  const bool renewal =
    known && record.live && SameButForLoad(record.announcement, aAnnouncement);
  if (!renewal) {
    const bool restarted = aAnnouncement.incarnation > record.stamp.incarnation;
    record.stamp = { .incarnation = aAnnouncement.incarnation,
                     .version = restarted ? 1 : record.stamp.version + 1 };
  }
  record.announcement = aAnnouncement;
  record.live = true;
  record.expiry = aNow + aState.settings.lease;
  record.reportedAt = aNow;
  const auto due = renewal ? aNow + aState.settings.loadInterval : aNow;
  aState.publishAt = std::min(aState.publishAt, due);
  return aState.settings.lease;
}

} // namespace balsampoint::registry
