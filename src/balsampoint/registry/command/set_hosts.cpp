#include "balsampoint/registry/command/set_hosts.hpp"

#include "balsampoint/registry/internal/change.hpp"
#include "balsampoint/registry/internal/contact.hpp"

namespace balsampoint::registry {

void
SetHosts(State& aState, const member::View& aView, Instant aNow)
{
  aState.zoneHosts.clear();
  aState.remoteHosts.clear();
  std::set<HostId> left;
  for (const auto& host : aView.hosts) {
    if (host.state == member::HostState::Left) {
      left.insert(host.id);
    }
    if (!host.Reachable() || host.id == aState.settings.self) {
      continue;
    }
    if (host.zone == aState.settings.zone) {
      aState.zoneHosts.insert(host.id);
      aState.contacts.try_emplace(host.id, aNow);
    } else {
      aState.remoteHosts[host.zone].push_back(host.id);
    }
  }
  std::erase_if(aState.contacts, [&](const auto& aEntry) {
    return !aState.zoneHosts.contains(aEntry.first);
  });
  for (auto& [id, record] : aState.records) {
    const auto& owner = record.claim.owner;
    if (!record.claim.live || owner == aState.settings.self) {
      continue;
    }
    if (internal::IsReachable(aState, owner, aNow)) {
      if (record.hidden) {
        record.hidden = false;
        internal::ScheduleView(aState, aNow);
      }
      record.expiry = kNever;
    } else if (record.expiry == kNever) {
      record.expiry =
        aNow + (left.contains(owner) ? aState.settings.lease
                                     : aState.settings.orphanGrace);
    }
  }
}

} // namespace balsampoint::registry
