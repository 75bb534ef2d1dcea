#include "balsampoint/member/internal/gossip.hpp"

#include "balsampoint/member/internal/peers.hpp"

#include <bit>
#include <chrono>
#include <span>

namespace balsampoint::member::internal {

namespace {

constexpr std::uint32_t kCopiesPerDoubling = 3;
constexpr std::size_t kHostsPerMessage = 64;
constexpr Duration kBroadcastDelay = std::chrono::milliseconds{ 20 };

std::uint32_t
CopiesToSend(const State& aState)
{
  return kCopiesPerDoubling *
         static_cast<std::uint32_t>(std::bit_width(aState.peers.size() + 1));
}

std::vector<Peer*>
MostUrgent(State& aState, std::size_t aCount)
{
  std::vector<Peer*> pending;
  for (auto& [id, peer] : aState.peers) {
    if (peer.remaining > 0) {
      pending.push_back(&peer);
    }
  }
  std::ranges::stable_sort(pending,
                           std::ranges::greater{},
                           [](const Peer* aPeer) { return aPeer->remaining; });
  pending.resize(std::min(pending.size(), aCount));
  return pending;
}

} // namespace

std::vector<Host>
SelectUpdates(State& aState, const HostId& aTo)
{
  std::vector<Host> updates;
  const auto found = aState.peers.find(aTo);
  if (found != aState.peers.end() &&
      found->second.host.state != HostState::Alive) {
    updates.push_back(found->second.host);
  }
  if (aState.selfRemaining > 0) {
    --aState.selfRemaining;
    updates.push_back(aState.self);
  }
  const auto room = aState.settings.updatesPerMessage - updates.size();
  for (auto* peer : MostUrgent(aState, room)) {
    --peer->remaining;
    updates.push_back(peer->host);
  }
  return updates;
}

void
Spread(State& aState, Peer& aPeer)
{
  aPeer.remaining = CopiesToSend(aState);
  aState.changed = true;
}

void
SpreadSelf(State& aState)
{
  aState.selfRemaining = CopiesToSend(aState);
  aState.changed = true;
}

void
Announce(State& aState, const HostId& aId, Instant aNow)
{
  aState.pendingBroadcast.insert(aId);
  const auto due =
    std::max(aNow + kBroadcastDelay,
             aState.lastBroadcastAt + aState.settings.broadcastInterval);
  aState.broadcastAt = std::min(aState.broadcastAt, due);
}

void
SendBroadcast(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  if (aState.broadcastAt > aNow) {
    return;
  }
  Updates message;
  for (const auto& id : aState.pendingBroadcast) {
    const auto found = aState.peers.find(id);
    if (id == aState.self.id) {
      message.updates.push_back(aState.self);
    } else if (found != aState.peers.end()) {
      message.updates.push_back(found->second.host);
    }
  }
  const auto isLocal = [&](const Host& aHost) {
    return aHost.Reachable() && aHost.zone == aState.self.zone;
  };
  for (const auto& to : Select(aState, isLocal)) {
    SendTo(aState, to, message, aActions);
  }
  aState.pendingBroadcast.clear();
  aState.broadcastAt = kNever;
  aState.lastBroadcastAt = aNow;
}

void
SendTo(const State& aState,
       const HostId& aTo,
       Message aMessage,
       std::vector<Action>& aActions)
{
  const auto found = aState.peers.find(aTo);
  if (found == aState.peers.end()) {
    return;
  }
  aActions.emplace_back(Send{ .to = aTo,
                              .address = found->second.host.address,
                              .message = std::move(aMessage) });
}

void
SendList(const State& aState,
         const HostId& aTo,
         bool aReply,
         std::vector<Action>& aActions)
{
  std::vector<Host> hosts{ aState.self };
  for (const auto& [id, peer] : aState.peers) {
    hosts.push_back(peer.host);
  }
  std::span<const Host> left{ hosts };
  while (!left.empty()) {
    const auto part = left.first(std::min(left.size(), kHostsPerMessage));
    left = left.subspan(part.size());
    SendTo(aState,
           aTo,
           Sync{ .hosts{ part.begin(), part.end() },
                 .reply = aReply && left.empty() },
           aActions);
  }
}

} // namespace balsampoint::member::internal
