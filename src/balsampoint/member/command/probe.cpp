#include "balsampoint/member/command/probe.hpp"

#include "balsampoint/member/internal/gossip.hpp"
#include "balsampoint/member/internal/merge.hpp"
#include "balsampoint/member/internal/peers.hpp"

#include <optional>

namespace balsampoint::member {

namespace {

bool
InOwnZone(const State& aState, const Host& aHost)
{
  return aHost.zone == aState.self.zone;
}

void
SendPing(State& aState, const HostId& aTo, std::vector<Action>& aActions)
{
  internal::SendTo(aState,
                   aTo,
                   Ping{ .sequence = aState.sequence,
                         .origin = aState.self.id,
                         .updates = internal::SelectUpdates(aState, aTo) },
                   aActions);
}

std::optional<HostId>
ChooseLocalTarget(State& aState)
{
  while (!aState.probeQueue.empty()) {
    auto id = std::move(aState.probeQueue.back());
    aState.probeQueue.pop_back();
    const auto found = aState.peers.find(id);
    if (found != aState.peers.end() && found->second.host.Reachable()) {
      return id;
    }
  }
  aState.probeQueue = internal::Select(aState, [&](const Host& aHost) {
    return aHost.Reachable() && InOwnZone(aState, aHost);
  });
  if (aState.probeQueue.empty()) {
    return std::nullopt;
  }
  internal::Shuffle(aState, aState.probeQueue);
  auto id = std::move(aState.probeQueue.back());
  aState.probeQueue.pop_back();
  return id;
}

std::optional<HostId>
ChooseRemoteTarget(State& aState)
{
  const auto isRemote = [&](const Host& aHost) {
    return aHost.Reachable() && !InOwnZone(aState, aHost);
  };
  const auto chosen =
    internal::Choose(aState, internal::Select(aState, isRemote), 1);
  if (chosen.empty()) {
    return std::nullopt;
  }
  return chosen.front();
}

std::optional<HostId>
ChooseTarget(State& aState)
{
  const bool remote = aState.sequence % aState.settings.remoteEvery == 0;
  auto target = remote ? ChooseRemoteTarget(aState) : ChooseLocalTarget(aState);
  if (!target) {
    target = remote ? ChooseLocalTarget(aState) : ChooseRemoteTarget(aState);
  }
  return target;
}

/** @brief Pings a random dead host to detect that it is back; a missing answer
 * has no effect. */
void
PingDead(State& aState, std::vector<Action>& aActions)
{
  const bool remote = aState.sequence % aState.settings.remoteEvery == 0;
  const auto isCandidate = [&](const Host& aHost) {
    return aHost.state == HostState::Dead && InOwnZone(aState, aHost) != remote;
  };
  const auto dead = internal::Select(aState, isCandidate);
  for (const auto& id : internal::Choose(aState, dead, 1)) {
    SendPing(aState, id, aActions);
  }
}

void
SendIndirectProbes(State& aState, Probe& aProbe, std::vector<Action>& aActions)
{
  const auto canProbe = [&](const Host& aHost) {
    return aHost.state == HostState::Alive && aHost.id != aProbe.target;
  };
  const auto proxies = internal::Choose(
    aState, internal::Select(aState, canProbe), aState.settings.indirectProbes);
  for (const auto& proxy : proxies) {
    internal::SendTo(
      aState,
      proxy,
      PingRequest{ .sequence = aProbe.sequence,
                   .target = aProbe.target,
                   .updates = internal::SelectUpdates(aState, proxy) },
      aActions);
  }
}

void
Suspect(State& aState, const HostId& aTarget, Instant aNow)
{
  const auto found = aState.peers.find(aTarget);
  if (found == aState.peers.end() ||
      found->second.host.state != HostState::Alive) {
    return;
  }
  internal::Mark(aState, found->second, HostState::Suspect, aNow);
  internal::Announce(aState, aTarget, aNow);
}

void
HandleProbeTimeout(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  if (aState.probe.deadline > aNow) {
    return;
  }
  auto& probe = aState.probe;
  if (!probe.indirect) {
    probe.indirect = true;
    probe.deadline = aNow + aState.settings.indirectTimeout;
    SendIndirectProbes(aState, probe, aActions);
    return;
  }
  Suspect(aState, probe.target, aNow);
  aState.probe = {};
}

} // namespace

void
RunProbes(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  HandleProbeTimeout(aState, aNow, aActions);
  if (aState.probeAt > aNow) {
    return;
  }
  aState.probeAt = aNow + aState.settings.probeInterval;
  if (!aState.probe.target.Empty()) {
    return;
  }
  ++aState.sequence;
  PingDead(aState, aActions);
  const auto target = ChooseTarget(aState);
  if (!target) {
    return;
  }
  aState.probe = Probe{ .target = *target,
                        .sequence = aState.sequence,
                        .deadline = aNow + aState.settings.directTimeout };
  SendPing(aState, *target, aActions);
}

} // namespace balsampoint::member
