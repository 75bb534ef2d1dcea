#include "balsampoint/registry/internal/contact.hpp"

#include "balsampoint/registry/internal/change.hpp"

#include <algorithm>

namespace balsampoint::registry::internal {

namespace {

Duration
DoubtAfter(const State& aState)
{
  return LoadBroadcastInterval(aState) + aState.settings.contactDoubt;
}

} // namespace

bool
InReach(const State& aState, const HostId& aHost, Instant aNow)
{
  const auto found = aState.contacts.find(aHost);
  return found != aState.contacts.end() &&
         found->second + DoubtAfter(aState) + aState.settings.contactGrace >
           aNow;
}

void
NoteContact(State& aState, const HostId& aHost, Instant aHeardAt, Instant aNow)
{
  const auto found = aState.contacts.find(aHost);
  if (found == aState.contacts.end()) {
    return;
  }
  const bool was = InReach(aState, aHost, aNow);
  found->second = std::max(found->second, aHeardAt);
  if (was || !InReach(aState, aHost, aNow)) {
    return;
  }
  for (auto& [id, record] : aState.records) {
    if (record.claim.live && record.hidden && record.claim.owner == aHost) {
      record.hidden = false;
      record.expiry = kNever;
      WantView(aState, aNow);
    }
  }
}

std::vector<HostId>
Doubted(const State& aState, Instant aNow)
{
  std::set<HostId> doubted;
  for (const auto& [id, record] : aState.records) {
    const auto found = aState.contacts.find(record.claim.owner);
    if (record.claim.live && found != aState.contacts.end() &&
        found->second + DoubtAfter(aState) <= aNow) {
      doubted.insert(record.claim.owner);
    }
  }
  return { doubted.begin(), doubted.end() };
}

} // namespace balsampoint::registry::internal
