#include "balsampoint/fleet/command/track_work.hpp"

#include <algorithm>

namespace balsampoint::fleet {

namespace {

Server*
Find(State& aState, const ServiceId& aService, const Hop& aHop)
{
  const auto group = aState.groups.find(aService);
  if (group == aState.groups.end()) {
    return nullptr;
  }
  const auto server = group->second.servers.find(aHop.server);
  const bool same = server != group->second.servers.end() &&
                    server->second.claim.stamp.incarnation == aHop.incarnation;
  return same ? &server->second : nullptr;
}

/**
 * @brief Exponential backoff: doubles with each earlier event, up to a
 * limit.
 */
Duration
Backoff(Duration aFirst, Duration aLongest, std::uint32_t aBefore)
{
  constexpr std::uint32_t kMaxDoublings = 8;
  const auto doublings = std::min(aBefore, kMaxDoublings);
  return std::min(aFirst * (std::int64_t{ 1 } << doublings), aLongest);
}

/**
 * @brief Time for which a server is avoided, given the number of earlier
 * faults.
 */
Duration
AvoidanceAfter(const Settings& aSettings, std::uint32_t aFaults)
{
  return Backoff(aSettings.firstAvoidance, aSettings.longestAvoidance, aFaults);
}

void
LeaveOut(Instant& aUntil, Instant aEnd)
{
  aUntil = std::max(aUntil, aEnd);
}

void
Take(const Settings& aSettings, Server& aServer, Finding aFinding, Instant aNow)
{
  const auto failed = aFinding == Finding::Answered ? 0.0 : 1.0;
  if (aFinding != Finding::Full) {
    aServer.failureRate +=
      aSettings.failureWeight * (failed - aServer.failureRate);
  }
  switch (aFinding) {
    case Finding::Answered:
      aServer.faults = 0;
      aServer.broken = 0;
      aServer.misses = 0;
      aServer.refusals = 0;
      break;
    case Finding::Full:
      // Concurrent requests that are all refused count as one refusal.
      if (aServer.fullUntil <= aNow) {
        aServer.fullUntil = aNow + Backoff(aSettings.fullAvoidance,
                                           aSettings.longestFullAvoidance,
                                           aServer.refusals);
        ++aServer.refusals;
      }
      break;
    case Finding::Unreachable:
      LeaveOut(aServer.unreachableUntil,
               aNow + AvoidanceAfter(aSettings, aServer.misses));
      ++aServer.misses;
      break;
    case Finding::Broken:
      if (++aServer.broken >= aSettings.brokenToAvoid) {
        LeaveOut(aServer.avoidUntil,
                 aNow + AvoidanceAfter(aSettings, aServer.faults));
        ++aServer.faults;
      }
      break;
    case Finding::Failed:
      break;
  }
}

} // namespace

void
Reserve(State& aState,
        const ServiceId& aService,
        std::span<const Hop> aHops,
        double aTokens)
{
  bool first = true;
  for (const auto& hop : aHops) {
    auto* server = Find(aState, aService, hop);
    if (server != nullptr) {
      ++server->own.passing;
      server->own.sent += first ? 1 : 0;
      server->own.kv += aTokens * hop.layers.Size();
    }
    first = false;
  }
}

void
Release(State& aState,
        const ServiceId& aService,
        std::span<const Hop> aHops,
        double aTokens)
{
  bool first = true;
  for (const auto& hop : aHops) {
    auto* server = Find(aState, aService, hop);
    if (server != nullptr) {
      auto& own = server->own;
      own.passing -= std::min(own.passing, 1U);
      own.sent -= first ? std::min(own.sent, 1U) : 0;
      own.kv = std::max(0.0, own.kv - aTokens * hop.layers.Size());
    }
    first = false;
  }
}

void
NoteEvent(State& aState,
          const ServiceId& aService,
          std::span<const Hop> aHops,
          std::optional<Duration> aInterval,
          Instant aNow)
{
  constexpr double kNewest = 0.1;
  const auto group = aState.groups.find(aService);
  if (group != aState.groups.end() && !aInterval) {
    group->second.begunAt = aNow;
  }
  for (const auto& hop : aHops) {
    auto* server = Find(aState, aService, hop);
    if (server == nullptr) {
      continue;
    }
    server->progressAt = aNow;
    server->misses = 0;
    server->unreachableUntil = Instant::min();
    if (!aInterval) {
      server->refusals = 0;
    } else {
      const std::chrono::duration<double, std::milli> interval = *aInterval;
      server->eventMs += kNewest * (interval.count() - server->eventMs);
    }
  }
}

void
CountStream(State& aState,
            const ServiceId& aService,
            std::span<const Hop> aHops,
            bool aWrites)
{
  for (const auto& hop : aHops) {
    auto* server = Find(aState, aService, hop);
    if (server == nullptr) {
      continue;
    }
    if (aWrites) {
      ++server->streams;
    } else {
      server->streams -= std::min(server->streams, 1U);
    }
  }
}

void
Note(State& aState,
     const ServiceId& aService,
     std::string_view aAddress,
     Finding aFinding,
     Instant aNow)
{
  const auto group = aState.groups.find(aService);
  if (group == aState.groups.end()) {
    return;
  }
  for (auto& [id, server] : group->second.servers) {
    if (server.claim.description.address == aAddress) {
      Take(aState.settings, server, aFinding, aNow);
    }
  }
}

} // namespace balsampoint::fleet
