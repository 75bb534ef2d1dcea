#include "balsampoint/member/command/receive.hpp"

#include "balsampoint/member/internal/digest.hpp"
#include "balsampoint/member/internal/gossip.hpp"
#include "balsampoint/member/internal/merge.hpp"

namespace balsampoint::member {

namespace {

/** @brief Handles one received message by its type. */
struct MessageHandler
{
  State& state;
  const HostId& from;
  Instant now;
  std::vector<Action>& actions;

  void MergeAll(std::span<const Host> aHosts) const
  {
    for (const auto& host : aHosts) {
      internal::Merge(state, host, now, actions);
    }
  }

  void Reply(const HostId& aTo, Message aMessage) const
  {
    internal::SendTo(state, aTo, std::move(aMessage), actions);
  }

  void operator()(const Ping& aPing) const
  {
    MergeAll(aPing.updates);
    Reply(from,
          Ack{ .sequence = aPing.sequence,
               .origin = aPing.origin,
               .updates = internal::SelectUpdates(state, from) });
  }

  void operator()(const PingRequest& aRequest) const
  {
    MergeAll(aRequest.updates);
    Reply(aRequest.target,
          Ping{ .sequence = aRequest.sequence,
                .origin = from,
                .updates = internal::SelectUpdates(state, aRequest.target) });
  }

  void operator()(const Ack& aAck) const
  {
    MergeAll(aAck.updates);
    if (aAck.origin != state.self.id) {
      Reply(aAck.origin,
            Ack{ .sequence = aAck.sequence,
                 .origin = aAck.origin,
                 .updates = internal::SelectUpdates(state, aAck.origin) });
      return;
    }
    if (state.probe.sequence == aAck.sequence) {
      state.probe = {};
    }
  }

  void operator()(const Join& aJoin) const
  {
    if (internal::Merge(state, aJoin.host, now, actions)) {
      internal::Announce(state, aJoin.host.id, now);
    }
    internal::SendList(state, from, false, actions);
  }

  /** @brief Merges an entry of a list. A host that is new here is not spread by
   * gossip, since the other hosts receive the list as well. */
  void MergeListed(const Host& aHost) const
  {
    const bool isNew = !state.peers.contains(aHost.id);
    if (internal::Merge(state, aHost, now, actions) && isNew) {
      state.peers.at(aHost.id).remaining = 0;
    }
  }

  void operator()(const Sync& aSync) const
  {
    const bool joined = state.peers.empty();
    for (const auto& host : aSync.hosts) {
      MergeListed(host);
    }
    if (joined && !state.peers.empty()) {
      internal::SpreadSelf(state);
      internal::Announce(state, state.self.id, now);
    }
    if (aSync.reply) {
      internal::SendList(state, from, false, actions);
    }
  }

  void operator()(const Digest& aDigest) const
  {
    if (aDigest.hash != internal::HashOf(state)) {
      internal::SendList(state, from, true, actions);
    }
  }

  void operator()(const Updates& aUpdates) const { MergeAll(aUpdates.updates); }
};

} // namespace

void
Receive(State& aState,
        const Received& aReceived,
        Instant aNow,
        std::vector<Action>& aActions)
{
  const auto known = aState.peers.find(aReceived.from);
  const bool wasDead =
    known != aState.peers.end() && known->second.host.state == HostState::Dead;
  std::visit(MessageHandler{ aState, aReceived.from, aNow, aActions },
             aReceived.message);
  if (!wasDead || !known->second.host.Reachable()) {
    return;
  }
  internal::Announce(aState, aReceived.from, aNow);
  internal::SendList(aState, aReceived.from, true, aActions);
}

} // namespace balsampoint::member
