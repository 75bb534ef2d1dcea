#include "balsampoint/roster/command/report_control_hosts.hpp"

#include <utility>

namespace balsampoint::roster {

void
ReportControlHosts(State& aState, Instant aNow, Actions& aActions)
{
  if (aState.role != Role::Control) {
    return;
  }
  std::vector<ControlHost> reachable;
  for (const auto& [host, subscriber] : aState.subscribers) {
    const auto age = aNow - subscriber.lastReceivedAt;
    if (!subscriber.hasDisk || age > aState.settings.hostTimeout) {
      continue;
    }
    reachable.push_back({ host, subscriber.zone });
  }
  if (reachable == aState.reachableControlHosts) {
    return;
  }
  aState.reachableControlHosts = std::move(reachable);
  aActions.emplace_back(ControlHostsChanged{ aState.reachableControlHosts });
}

} // namespace balsampoint::roster
