#include "balsampoint/reach/command/record_traffic.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace balsampoint::reach {

void
RecordTraffic(State& aState,
              std::span<const ConnectionEvidence> aConnections,
              Instant aNow)
{
  const auto timeout = aState.settings.ackTimeout;
  aState.awaitedSince.reset();
  std::set<std::string_view> silent;
  for (const auto& one : aConnections) {
    aState.heardAt = std::max(aState.heardAt, one.readAt);
    if (one.readAt >= one.sentAt) {
      continue;
    }
    aState.awaitedSince =
      std::min(aState.awaitedSince.value_or(one.sentAt), one.sentAt);
    // The last acknowledgement on a connection that was idle may be old.
    if (one.unacknowledged && one.sinceAck >= timeout &&
        aNow - one.sentAt >= timeout) {
      silent.insert(one.server);
    }
  }
  aState.silentServers = silent.size();
}

} // namespace balsampoint::reach
