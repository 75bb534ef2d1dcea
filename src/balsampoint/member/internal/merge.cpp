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
Refute(State& aState, const Host& aNews, Instant aNow)
{
  auto& self = aState.self;
  const bool doubted = aNews.state != HostState::Alive &&
                       aNews.incarnation == self.incarnation &&
                       aNews.revision >= self.revision;
  if (!doubted || self.state == HostState::Left) {
    return;
  }
  self.revision = aNews.revision + 1;
  SpreadSelf(aState);
  Announce(aState, self.id, aNow);
}

} // namespace

bool
Merge(State& aState,
      const Host& aNews,
      Instant aNow,
      std::vector<Action>& aActions)
{
  if (aNews.id == aState.self.id) {
    Refute(aState, aNews, aNow);
    return false;
  }
  const auto [at, isNew] = aState.peers.try_emplace(
    aNews.id, Peer{ .host = aNews, .changedAt = aNow });
  auto& peer = at->second;
  if (!isNew && Precedence(aNews) <= Precedence(peer.host)) {
    return false;
  }
  const bool wasAlive = !isNew && peer.host.state == HostState::Alive;
  peer.host = aNews;
  if (wasAlive && aNews.state == HostState::Dead) {
    Mark(aState, peer, HostState::Suspect, aNow);
    SendTo(aState, aNews.id, News{ .updates = { peer.host } }, aActions);
  } else {
    Mark(aState, peer, aNews.state, aNow);
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
