#include "balsampoint/member/command/probe.hpp"

#include "balsampoint/member/internal/gossip.hpp"
#include "balsampoint/member/internal/merge.hpp"
#include "balsampoint/member/internal/peers.hpp"

#include <optional>

namespace balsampoint::member {

namespace {

bool
IsNear(const State& aState, const Host& aHost)
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
                         .updates = internal::TakeUpdates(aState, aTo) },
                   aActions);
}

std::optional<HostId>
ChooseNear(State& aState)
{
  while (!aState.round.empty()) {
    auto id = std::move(aState.round.back());
    aState.round.pop_back();
    const auto found = aState.peers.find(id);
    if (found != aState.peers.end() && found->second.host.Reachable()) {
      return id;
    }
  }
  aState.round = internal::Select(aState, [&](const Host& aHost) {
    return aHost.Reachable() && IsNear(aState, aHost);
  });
  if (aState.round.empty()) {
    return std::nullopt;
  }
  internal::Shuffle(aState, aState.round);
  auto id = std::move(aState.round.back());
  aState.round.pop_back();
  return id;
}

std::optional<HostId>
ChooseFar(State& aState)
{
  const auto isFar = [&](const Host& aHost) {
    return aHost.Reachable() && !IsNear(aState, aHost);
  };
  const auto chosen =
    internal::Choose(aState, internal::Select(aState, isFar), 1);
  if (chosen.empty()) {
    return std::nullopt;
  }
  return chosen.front();
}

std::optional<HostId>
ChooseTarget(State& aState)
{
  const bool far = aState.sequence % aState.settings.remoteEvery == 0;
  auto target = far ? ChooseFar(aState) : ChooseNear(aState);
  if (!target) {
    target = far ? ChooseNear(aState) : ChooseFar(aState);
  }
  return target;
}

/** @brief Pings a random dead host to detect that it is back; a missing answer
 * has no effect. */
void
TryDead(State& aState, std::vector<Action>& aActions)
{
  const bool far = aState.sequence % aState.settings.remoteEvery == 0;
  const auto isTried = [&](const Host& aHost) {
    return aHost.state == HostState::Dead && IsNear(aState, aHost) != far;
  };
  const auto dead = internal::Select(aState, isTried);
  for (const auto& id : internal::Choose(aState, dead, 1)) {
    SendPing(aState, id, aActions);
  }
}

void
AskOthers(State& aState, Probe& aProbe, std::vector<Action>& aActions)
{
  const auto canHelp = [&](const Host& aHost) {
    return aHost.state == HostState::Alive && aHost.id != aProbe.target;
  };
  const auto helpers = internal::Choose(
    aState, internal::Select(aState, canHelp), aState.settings.indirectProbes);
  for (const auto& helper : helpers) {
    internal::SendTo(
      aState,
      helper,
      PingRequest{ .sequence = aProbe.sequence,
                   .target = aProbe.target,
                   .updates = internal::TakeUpdates(aState, helper) },
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
FollowUp(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  if (aState.probe.deadline > aNow) {
    return;
  }
  auto& probe = aState.probe;
  if (!probe.indirect) {
    probe.indirect = true;
    probe.deadline = aNow + aState.settings.indirectTimeout;
    AskOthers(aState, probe, aActions);
    return;
  }
  Suspect(aState, probe.target, aNow);
  aState.probe = {};
}

} // namespace

void
RunProbes(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  FollowUp(aState, aNow, aActions);
  if (aState.probeAt > aNow) {
    return;
  }
  aState.probeAt = aNow + aState.settings.probeInterval;
  if (!aState.probe.target.Empty()) {
    return;
  }
  ++aState.sequence;
  TryDead(aState, aActions);
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
