#include "balsampoint/member/internal/merge.hpp"

#include "balsampoint/member/internal/gossip.hpp"

#include <tuple>

namespace balsampoint::member::internal {

namespace {

auto
Precedence(const Host& aHost)
{
  return std::tuple{ aHost.incarnation, aHost.revision, aHost.state };
}

void
Refute(State& aState, const Host& aUpdate, Instant aNow)
{
  auto& self = aState.self;
  const bool isSuspected = aUpdate.state != HostState::Alive &&
                           aUpdate.incarnation == self.incarnation &&
                           aUpdate.revision >= self.revision;
  if (!isSuspected || self.state == HostState::Left) {
    return;
  }
  self.revision = aUpdate.revision + 1;
  SpreadSelf(aState);
  Announce(aState, self.id, aNow);
}

} // namespace

bool
Merge(State& aState,
      const Host& aUpdate,
      Instant aNow,
      std::vector<Action>& aActions)
{
  if (aUpdate.id == aState.self.id) {
    Refute(aState, aUpdate, aNow);
    return false;
  }
  const auto [at, isNew] = aState.peers.try_emplace(
    aUpdate.id, Peer{ .host = aUpdate, .changedAt = aNow });
  auto& peer = at->second;
  if (!isNew && Precedence(aUpdate) <= Precedence(peer.host)) {
    return false;
  }
  const bool wasAlive = !isNew && peer.host.state == HostState::Alive;
  peer.host = aUpdate;
  if (wasAlive && aUpdate.state == HostState::Dead) {
    Mark(aState, peer, HostState::Suspect, aNow);
    SendTo(aState, aUpdate.id, Updates{ .updates = { peer.host } }, aActions);
  } else {
    Mark(aState, peer, aUpdate.state, aNow);
  }
  return true;
}

void
Mark(State& aState, Peer& aPeer, HostState aMark, Instant aNow)
{
  aPeer.host.state = aMark;
  aPeer.changedAt = aNow;
  Spread(aState, aPeer);
}

} // namespace balsampoint::member::internal
