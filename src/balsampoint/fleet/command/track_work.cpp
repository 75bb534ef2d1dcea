#include "balsampoint/fleet/command/track_work.hpp"

#include "balsampoint/fleet/internal/find_server.hpp"

#include <algorithm>

namespace balsampoint::fleet {

namespace {

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
ExtendUntil(Instant& aUntil, Instant aEnd)
{
  aUntil = std::max(aUntil, aEnd);
}

/** @brief Removes a prompt from those that wait for their first event. */
void
EndPrompt(Server& aServer, const Hop& aHop, const Reservation& aReservation)
{
  auto& waiting = aServer.localWork.waitingPrompt;
  waiting =
    std::max(0.0, waiting - aReservation.promptTokens * aHop.layers.Size());
}

/**
 * @brief Avoids a server that rejected a request because it is full. Concurrent
 * requests that are all refused count as one refusal.
 */
void
ApplyRejection(const Settings& aSettings, Server& aServer, Instant aNow)
{
  if (aServer.fullUntil <= aNow) {
    aServer.fullUntil = aNow + Backoff(aSettings.fullAvoidance,
                                       aSettings.longestFullAvoidance,
                                       aServer.refusals);
    ++aServer.refusals;
  }
  if (aServer.kvCapacity > 0.0) {
    aServer.localRejection = { aNow, aServer.KvUsed() / aServer.kvCapacity };
  }
}

void
ApplyOutcome(const Settings& aSettings,
             Server& aServer,
             RequestOutcome aOutcome,
             Instant aNow)
{
  const auto failed = aOutcome == RequestOutcome::Answered ? 0.0 : 1.0;
  if (aOutcome != RequestOutcome::Full) {
    aServer.failureRate +=
      aSettings.failureWeight * (failed - aServer.failureRate);
  }
  switch (aOutcome) {
    case RequestOutcome::Answered:
      aServer.avoidances = 0;
      aServer.brokenAnswers = 0;
      aServer.failedConnections = 0;
      aServer.refusals = 0;
      aServer.returning = false;
      break;
    case RequestOutcome::Full:
      ApplyRejection(aSettings, aServer, aNow);
      break;
    case RequestOutcome::Unreachable:
      ExtendUntil(aServer.unreachableUntil,
                  aNow + AvoidanceAfter(aSettings, aServer.failedConnections));
      ++aServer.failedConnections;
      break;
    case RequestOutcome::Broken:
      if (++aServer.brokenAnswers >= aSettings.maxBrokenAnswers) {
        ExtendUntil(aServer.avoidUntil,
                    aNow + AvoidanceAfter(aSettings, aServer.avoidances));
        ++aServer.avoidances;
      }
      break;
    case RequestOutcome::Failed:
      break;
  }
}

} // namespace

void
Reserve(State& aState,
        const ServiceId& aService,
        std::span<const Hop> aHops,
        const Reservation& aReservation)
{
  bool first = true;
  for (const auto& hop : aHops) {
    auto* server = internal::FindServer(aState, aService, hop);
    if (server != nullptr) {
      ++server->localWork.passing;
      server->localWork.sent += first ? 1 : 0;
      server->localWork.kv += aReservation.tokens * hop.layers.Size();
      server->localWork.waitingPrompt +=
        aReservation.promptTokens * hop.layers.Size();
    }
    first = false;
  }
}

void
CountZoneTokens(State& aState,
                const ServiceId& aService,
                std::span<const Hop> aHops,
                const Reservation& aReservation,
                Instant aNow)
{
  const Server* before = nullptr;
  std::uint32_t changes = 0;
  for (const auto& hop : aHops) {
    const Server* server = internal::FindServer(aState, aService, hop);
    if (before != nullptr && server != nullptr &&
        before->claim.description.zone != server->claim.description.zone) {
      ++changes;
    }
    before = server;
  }
  const auto group = aState.groups.find(aService);
  if (changes > 0 && group != aState.groups.end()) {
    constexpr double kMost = 1e6;
    const auto tokens = std::min(kMost, aReservation.tokens * changes);
    group->second.zoneTokens.Add(aNow, static_cast<std::uint32_t>(tokens));
  }
}

void
Release(State& aState,
        const ServiceId& aService,
        std::span<const Hop> aHops,
        const Reservation& aReservation)
{
  bool first = true;
  for (const auto& hop : aHops) {
    auto* server = internal::FindServer(aState, aService, hop);
    if (server != nullptr) {
      auto& own = server->localWork;
      own.passing -= std::min(own.passing, 1U);
      own.sent -= first ? std::min(own.sent, 1U) : 0;
      own.kv = std::max(0.0, own.kv - aReservation.tokens * hop.layers.Size());
      EndPrompt(*server, hop, aReservation);
    }
    first = false;
  }
}

void
RecordEvent(State& aState,
            const ServiceId& aService,
            std::span<const Hop> aHops,
            Reservation& aReservation,
            std::optional<Duration> aInterval,
            Instant aNow)
{
  constexpr double kNewestWeight = 0.1;
  const auto group = aState.groups.find(aService);
  if (group != aState.groups.end() && !aInterval) {
    group->second.lastStartedAt = aNow;
  }
  for (const auto& hop : aHops) {
    auto* server = internal::FindServer(aState, aService, hop);
    if (server == nullptr) {
      continue;
    }
    server->progressAt = aNow;
    server->failedConnections = 0;
    server->unreachableUntil = Instant::min();
    if (!aInterval) {
      server->startedAt = aNow;
      EndPrompt(*server, hop, aReservation);
      server->refusals = 0;
      server->returning = false;
    } else {
      const std::chrono::duration<double, std::milli> interval = *aInterval;
      server->eventMs += kNewestWeight * (interval.count() - server->eventMs);
    }
  }
  if (!aInterval) {
    aReservation.promptTokens = 0.0;
  }
}

void
CountStream(State& aState,
            const ServiceId& aService,
            std::span<const Hop> aHops,
            bool aBegins)
{
  for (const auto& hop : aHops) {
    auto* server = internal::FindServer(aState, aService, hop);
    if (server == nullptr) {
      continue;
    }
    if (aBegins) {
      ++server->streams;
    } else {
      server->streams -= std::min(server->streams, 1U);
    }
  }
}

void
CountChoice(State& aState, const ServiceId& aService, Instant aNow)
{
  const auto group = aState.groups.find(aService);
  if (group != aState.groups.end()) {
    group->second.choices.Add(aNow);
  }
}

void
CountSend(State& aState,
          const ServiceId& aService,
          const Hop& aHop,
          Instant aNow)
{
  auto* server = internal::FindServer(aState, aService, aHop);
  if (server != nullptr) {
    server->sentRecently.Add(aNow);
  }
}

void
RecordOutcome(State& aState,
              const ServiceId& aService,
              std::string_view aAddress,
              RequestOutcome aOutcome,
              Instant aNow)
{
  const auto group = aState.groups.find(aService);
  if (group == aState.groups.end()) {
    return;
  }
  for (auto& [id, server] : group->second.servers) {
    if (server.claim.description.address == aAddress) {
      ApplyOutcome(aState.settings, server, aOutcome, aNow);
    }
  }
}

} // namespace balsampoint::fleet
