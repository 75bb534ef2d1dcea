#include "balsampoint/fleet/query/silent_servers.hpp"

#include <algorithm>
#include <chrono>

namespace balsampoint::fleet {

namespace {

/** Longest normal pause on a server with many streams, as a multiple of its
 * mean time between events. */
constexpr double kPauseFactor = 1.6;
/** Added to the multiple for a single stream; divided by the number of streams.
 * */
constexpr double kSingleStreamFactor = 2.5;
constexpr double kMinPauseMs = 70.0;
/** Shortest time between two probes of a server. */
constexpr Duration kProbeInterval = std::chrono::milliseconds{ 250 };

bool
IsSilent(const Server& aServer, Instant aNow)
{
  if (aServer.streams == 0 || aServer.progressAt == Instant::min() ||
      aServer.Avoided(aNow)) {
    return false;
  }
  if (aServer.probedAt != Instant::min() &&
      aNow - aServer.probedAt < kProbeInterval) {
    return false;
  }
  const auto usual =
    aServer.eventMs * (kPauseFactor + kSingleStreamFactor / aServer.streams);
  const std::chrono::duration<double, std::milli> pause =
    aNow - aServer.progressAt;
  return pause.count() > std::max(kMinPauseMs, usual);
}

} // namespace

std::vector<SilentServer>
SilentServers(const State& aState, Instant aNow)
{
  std::vector<SilentServer> silent;
  for (const auto& [service, group] : aState.groups) {
    for (const auto& [id, server] : group.servers) {
      if (IsSilent(server, aNow)) {
        silent.push_back({ service, id, server.claim.description.address });
      }
    }
  }
  return silent;
}

} // namespace balsampoint::fleet
