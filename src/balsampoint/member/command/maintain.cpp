#include "balsampoint/member/command/maintain.hpp"

#include "balsampoint/member/internal/digest.hpp"
#include "balsampoint/member/internal/gossip.hpp"
#include "balsampoint/member/internal/merge.hpp"
#include "balsampoint/member/internal/peers.hpp"

namespace balsampoint::member {

namespace {

constexpr std::int64_t kJoinedIntervalFactor = 5;

bool
IsMissing(const State& aState, const Seed& aSeed)
{
  if (aSeed.address == aState.self.address) {
    return false;
  }
  return std::ranges::none_of(aState.peers, [&](const auto& aEntry) {
    const auto& host = aEntry.second.host;
    return host.address == aSeed.address && host.Reachable();
  });
}

void
JoinBySeeds(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  if (aState.joinAt > aNow) {
    return;
  }
  const bool alone = aState.peers.empty();
  const auto interval = aState.settings.joinInterval;
  aState.joinAt = aNow + (alone ? interval : interval * kJoinedIntervalFactor);
  for (const auto& seed : aState.settings.seeds) {
    if (!IsMissing(aState, seed)) {
      continue;
    }
    aActions.emplace_back(Send{ .to = seed.id,
                                .address = seed.address,
                                .message = Join{ .host = aState.self } });
  }
}

void
ExpireStates(State& aState, Instant aNow)
{
  for (auto at = aState.peers.begin(); at != aState.peers.end();) {
    auto& peer = at->second;
    const bool due = peer.host.state != HostState::Alive &&
                     internal::StateDeadline(aState, peer) <= aNow;
    if (!due) {
      ++at;
      continue;
    }
    if (peer.host.state == HostState::Suspect) {
      internal::Mark(aState, peer, HostState::Dead, aNow);
      ++at;
      continue;
    }
    at = aState.peers.erase(at);
    aState.changed = true;
  }
}

void
SendDigest(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  if (aState.digestAt > aNow) {
    return;
  }
  aState.digestAt = aNow + aState.settings.digestInterval;
  const auto alive = internal::Select(
    aState, [](const Host& aHost) { return aHost.state == HostState::Alive; });
  for (const auto& to : internal::Choose(aState, alive, 1)) {
    internal::SendTo(
      aState, to, Digest{ .hash = internal::HashOf(aState) }, aActions);
  }
}

} // namespace

void
Maintain(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  JoinBySeeds(aState, aNow, aActions);
  ExpireStates(aState, aNow);
  SendDigest(aState, aNow, aActions);
}

void
LeaveCluster(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  aState.self.state = HostState::Left;
  internal::SpreadSelf(aState);
  internal::Announce(aState, aState.self.id, aNow);
  aState.broadcastAt = aNow;
  internal::SendBroadcast(aState, aNow, aActions);
}

} // namespace balsampoint::member
