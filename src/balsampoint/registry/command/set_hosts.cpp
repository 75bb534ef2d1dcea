#include "balsampoint/registry/command/set_hosts.hpp"

#include "balsampoint/registry/internal/change.hpp"

namespace balsampoint::registry {

void
SetHosts(State& aState, const member::View& aView, Instant aNow)
{
  aState.nearHosts.clear();
  aState.farHosts.clear();
  for (const auto& host : aView.hosts) {
    if (!host.Reachable() || host.id == aState.settings.self) {
      continue;
    }
    if (host.zone == aState.settings.zone) {
      aState.nearHosts.insert(host.id);
    } else {
      aState.farHosts[host.zone].push_back(host.id);
    }
  }
  for (auto& [id, record] : aState.records) {
    const auto& owner = record.claim.owner;
    if (!record.claim.live || owner == aState.settings.self) {
      continue;
    }
    if (aState.nearHosts.contains(owner)) {
      if (record.hidden) {
        record.hidden = false;
        internal::WantView(aState, aNow);
      }
      record.expiry = kNever;
    } else if (record.expiry == kNever) {
      record.expiry = aNow + aState.settings.lease;
    }
  }
}

} // namespace balsampoint::registry
