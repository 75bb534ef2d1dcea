#include "balsampoint/retry/command/track_health.hpp"

#include <algorithm>
#include <set>

namespace balsampoint::retry {

namespace {

/** Whether the limit of ejected servers lets this server be ejected. */
bool
CanEject(const State& aState, const ServerId& aServer, Instant aNow)
{
  if (!aState.view) {
    return false;
  }
  const auto& servers = aState.view->servers;
  const auto own = std::ranges::find_if(servers, [&aServer](const auto& aEach) {
    return aEach.announcement.server == aServer;
  });
  if (own == servers.end()) {
    return false;
  }
  std::size_t ready = 0;
  std::size_t ejected = 0;
  for (const auto& server : servers) {
    if (server.announcement.service != own->announcement.service ||
        server.announcement.state != registry::ServerState::Ready) {
      continue;
    }
    ++ready;
    const auto health = aState.health.find(server.announcement.server);
    if (health != aState.health.end() && health->second.ejectedUntil > aNow) {
      ++ejected;
    }
  }
  const auto allowed = static_cast<std::size_t>(
    static_cast<double>(ready) * aState.settings.maxEjectedShare);
  return ready > 1 && ejected < std::max<std::size_t>(1, allowed);
}

void
Eject(State& aState, const ServerId& aServer, Instant aNow)
{
  if (!CanEject(aState, aServer, aNow)) {
    return;
  }
  auto& health = aState.health[aServer];
  ++health.ejections;
  const auto length = std::min(aState.settings.ejectionTime * health.ejections,
                               aState.settings.maxEjectionTime);
  health.ejectedUntil = aNow + length;
  health.inUseSince = health.ejectedUntil;
  health.consecutiveFailures = 0;
}

} // namespace

void
RecordAttempt(State& aState, const AttemptEnded& aEnded, Instant aNow)
{
  const auto found = aState.health.find(aEnded.server);
  if (found == aState.health.end() ||
      found->second.incarnation != aEnded.incarnation) {
    return;
  }
  auto& health = found->second;
  health.inFlight -= health.inFlight > 0 ? 1 : 0;
  if (aEnded.result == AttemptResult::Answered) {
    health.consecutiveFailures = 0;
    if (health.inUseSince < aNow - aState.settings.maxEjectionTime) {
      health.ejections = 0;
    }
    return;
  }
  ++health.consecutiveFailures;
  if (health.consecutiveFailures >= aState.settings.ejectionThreshold) {
    Eject(aState, aEnded.server, aNow);
  }
}

void
UpdateServers(State& aState, const ServersChanged& aChanged, Instant aNow)
{
  const bool first = aState.view == nullptr;
  aState.view = aChanged.view;
  std::set<ServerId> live;
  for (const auto& server : aChanged.view->servers) {
    const auto& announced = server.announcement;
    if (announced.kind != registry::ServerKind::PlainService) {
      continue;
    }
    live.insert(announced.server);
    const auto found = aState.health.find(announced.server);
    if (found != aState.health.end() &&
        found->second.incarnation == announced.incarnation) {
      continue;
    }
    aState.health[announced.server] = { .incarnation = announced.incarnation,
                                        .inUseSince =
                                          first ? Instant::min() : aNow };
  }
  std::erase_if(aState.health, [&live](const auto& aEach) {
    return !live.contains(aEach.first);
  });
}

} // namespace balsampoint::retry
