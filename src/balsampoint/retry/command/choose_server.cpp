#include "balsampoint/retry/command/choose_server.hpp"

#include <algorithm>

namespace balsampoint::retry {

namespace {

using Candidates = std::vector<const registry::Server*>;

bool
Usable(const State& aState,
       const registry::Server& aServer,
       const AttemptRequested& aRequested,
       Instant aNow)
{
  const auto& announced = aServer.announcement;
  if (announced.service != aRequested.service ||
      announced.state != registry::ServerState::Ready ||
      std::ranges::find(aRequested.failed, announced.server) !=
        aRequested.failed.end()) {
    return false;
  }
  const auto health = aState.health.find(announced.server);
  return health == aState.health.end() || health->second.ejectedUntil <= aNow;
}

Candidates
FindCandidates(const State& aState,
               const AttemptRequested& aRequested,
               Instant aNow)
{
  Candidates all;
  Candidates near;
  if (!aState.view) {
    return all;
  }
  for (const auto& server : aState.view->servers) {
    if (!Usable(aState, server, aRequested, aNow)) {
      continue;
    }
    all.push_back(&server);
    if (server.announcement.zone == aState.settings.zone) {
      near.push_back(&server);
    }
  }
  return near.empty() ? all : near;
}

double
SlowStartShare(const Settings& aSettings,
               const ServerHealth& aHealth,
               Instant aNow)
{
  if (aHealth.inUseSince == Instant::min() ||
      aNow - aHealth.inUseSince >= aSettings.slowStart) {
    return 1.0;
  }
  const auto grown = std::chrono::duration<double>(aNow - aHealth.inUseSince) /
                     std::chrono::duration<double>(aSettings.slowStart);
  return std::max(aSettings.slowStartShare, grown);
}

double
Score(State& aState, const registry::Server& aServer, Instant aNow)
{
  constexpr Duration kReportLifetime = std::chrono::seconds{ 2 };
  const auto& health = aState.health[aServer.announcement.server];
  const bool fresh = aNow - aServer.reportedAt < kReportLifetime;
  const auto reported = fresh ? aServer.announcement.load.runningRequests : 0U;
  const auto load = std::max(reported, health.inFlight) + 1.0;
  return load / SlowStartShare(aState.settings, health, aNow);
}

} // namespace

std::uint64_t
NextRandom(State& aState)
{
  constexpr std::uint64_t kStep = 0x9E3779B97F4A7C15ULL;
  constexpr std::uint64_t kMix = 0xBF58476D1CE4E5B9ULL;
  aState.random += kStep;
  auto value = (aState.random ^ (aState.random >> 30U)) * kMix;
  value ^= value >> 31U;
  return value;
}

const registry::Server*
ChooseServer(State& aState, const AttemptRequested& aRequested, Instant aNow)
{
  const auto candidates = FindCandidates(aState, aRequested, aNow);
  if (candidates.empty()) {
    return nullptr;
  }
  const auto* first = candidates[NextRandom(aState) % candidates.size()];
  const auto* second = candidates[NextRandom(aState) % candidates.size()];
  const auto* chosen =
    Score(aState, *first, aNow) <= Score(aState, *second, aNow) ? first
                                                                : second;
  ++aState.health[chosen->announcement.server].inFlight;
  return chosen;
}

} // namespace balsampoint::retry
