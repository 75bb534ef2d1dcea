#include "balsampoint/registry/internal/contact.hpp"

#include "balsampoint/registry/internal/change.hpp"

#include <algorithm>

namespace balsampoint::registry::internal {

namespace {

Duration
OverdueAfter(const State& aState)
{
  return LoadBroadcastInterval(aState) + aState.settings.contactTimeout;
}

} // namespace

bool
IsReachable(const State& aState, const HostId& aHost, Instant aNow)
{
  const auto found = aState.contacts.find(aHost);
  return found != aState.contacts.end() &&
         found->second + OverdueAfter(aState) +
             aState.settings.unreachableTimeout >
           aNow;
}

void
RecordContact(State& aState,
              const HostId& aHost,
              Instant aContactAt,
              Instant aNow)
{
  const auto found = aState.contacts.find(aHost);
  if (found == aState.contacts.end()) {
    return;
  }
  const bool was = IsReachable(aState, aHost, aNow);
  found->second = std::max(found->second, aContactAt);
  if (was || !IsReachable(aState, aHost, aNow)) {
    return;
  }
  for (auto& [id, record] : aState.records) {
    if (record.claim.live && record.hidden && record.claim.owner == aHost) {
      record.hidden = false;
      record.expiry = kNever;
      ScheduleView(aState, aNow);
    }
  }
}

std::vector<HostId>
OverdueHosts(const State& aState, Instant aNow)
{
  std::set<HostId> overdue;
  for (const auto& [id, record] : aState.records) {
    const auto found = aState.contacts.find(record.claim.owner);
    if (record.claim.live && found != aState.contacts.end() &&
        found->second + OverdueAfter(aState) <= aNow) {
      overdue.insert(record.claim.owner);
    }
  }
  return { overdue.begin(), overdue.end() };
}

} // namespace balsampoint::registry::internal
