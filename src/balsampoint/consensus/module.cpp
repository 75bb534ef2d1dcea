#include "balsampoint/consensus/module.hpp"

#include "balsampoint/consensus/command/elect.hpp"
#include "balsampoint/consensus/command/hand_over.hpp"
#include "balsampoint/consensus/command/members.hpp"
#include "balsampoint/consensus/command/propose.hpp"
#include "balsampoint/consensus/command/read.hpp"
#include "balsampoint/consensus/command/replicate.hpp"
#include "balsampoint/consensus/command/snapshot.hpp"
#include "balsampoint/consensus/command/storage.hpp"
#include "balsampoint/consensus/internal/log.hpp"
#include "balsampoint/consensus/internal/quorum.hpp"
#include "balsampoint/consensus/internal/write.hpp"
#include "balsampoint/consensus/query/next_deadline.hpp"
#include "balsampoint/consensus/query/status.hpp"
#include "balsampoint/core/concepts.hpp"

#include <utility>

namespace balsampoint::consensus {

static_assert(ControlModule<Module>);

namespace {

/** @brief Dispatches each kind of event and message to its command. */
struct Dispatch
{
  State& state;
  Instant now;
  Actions& actions;
  HostId from;

  void operator()(const Received& aEvent)
  {
    if (state.storageFailed) {
      return;
    }
    from = aEvent.from;
    if (internal::Find(state.members, from) != nullptr) {
      state.lastHeardAt[from] = now;
    }
    std::visit(*this, aEvent.message);
  }
  void operator()(const VoteRequest& aMessage) const
  {
    HandleVoteRequest(state, from, aMessage, now, actions);
  }
  void operator()(const VoteReply& aMessage) const
  {
    HandleVoteReply(state, from, aMessage, now, actions);
  }
  void operator()(const AppendRequest& aMessage) const
  {
    HandleAppendRequest(state, from, aMessage, now, actions);
  }
  void operator()(const AppendReply& aMessage) const
  {
    HandleAppendReply(state, from, aMessage, now, actions);
  }
  void operator()(const SnapshotRequest& aMessage) const
  {
    HandleSnapshotRequest(state, from, aMessage, now, actions);
  }
  void operator()(const SnapshotReply& aMessage) const
  {
    HandleSnapshotReply(state, from, aMessage, now, actions);
  }
  void operator()(const HandOverRequest& aMessage) const
  {
    HandleHandOverRequest(state, from, aMessage, now, actions);
  }
  void operator()(const WriteCompleted& aEvent) const
  {
    HandleWriteCompleted(state, aEvent, now, actions);
  }
  void operator()(const StorageFailure& aEvent) const
  {
    HandleStorageFailure(state, aEvent, now, actions);
  }
  void operator()(const Propose& aEvent) const
  {
    HandlePropose(state, aEvent, now, actions);
  }
  void operator()(const AddMember& aEvent) const
  {
    HandleAddMember(state, aEvent, now, actions);
  }
  void operator()(const RemoveMember& aEvent) const
  {
    HandleRemoveMember(state, aEvent, now, actions);
  }
  void operator()(const ReplaceMember& aEvent) const
  {
    HandleReplaceMember(state, aEvent, now, actions);
  }
  void operator()(const ConfirmLeader& aEvent) const
  {
    HandleConfirmLeader(state, aEvent, now, actions);
  }
  void operator()(const HandOver& /*aEvent*/) const
  {
    HandleHandOver(state, now, actions);
  }
  void operator()(const StandbyHostsUpdated& aEvent) const
  {
    state.standbyHosts = aEvent.standbyHosts;
  }
  void operator()(const SnapshotTaken& aEvent) const
  {
    HandleSnapshotTaken(state, aEvent, actions);
  }
  void operator()(const StatusRequested& /*aEvent*/) const
  {
    actions.emplace_back(StatusReady{ Describe(state, now) });
  }
};

bool
IsContiguous(const Log& aLog)
{
  auto expected = aLog.baseIndex;
  for (const auto& entry : aLog.entries) {
    expected = expected.Next();
    if (entry.index != expected) {
      return false;
    }
  }
  return true;
}

void
LoadRecovered(State& aState, Recovered aRecovered, Actions& aActions)
{
  aState.log.baseMembers = aState.settings.initialMembers;
  if (aRecovered.snapshot) {
    aState.snapshot = std::move(*aRecovered.snapshot);
    internal::Reset(aState.log, aState.snapshot);
    aActions.emplace_back(
      Restore{ aState.snapshot.index, aState.snapshot.data });
  }
  for (auto& entry : aRecovered.entries) {
    if (entry.index > aState.log.baseIndex) {
      aState.log.entries.push_back(std::move(entry));
    }
  }
  aState.durableIndex = internal::LastIndex(aState.log);
  aState.committed = aState.snapshot.index;
  aState.applied = aState.snapshot.index;
}

} // namespace

tl::expected<State, Error>
Module::Start(Settings aSettings,
              Recovered aRecovered,
              std::uint64_t aSeed,
              Instant aNow,
              Actions& aActions)
{
  if (aSettings.self.Empty() ||
      aSettings.electionTimeoutMin <= aSettings.heartbeatInterval ||
      aSettings.electionTimeoutMax < aSettings.electionTimeoutMin ||
      aSettings.firstElectionTimeoutMax < aSettings.firstElectionTimeoutMin) {
    return Refuse(ErrorKind::InvalidConfiguration,
                  "the host id must be set, and the election timeouts must be "
                  "ordered and longer than the heartbeat interval");
  }
  State state{ .settings = std::move(aSettings),
               .random = SplitMix64{ aSeed } };
  const auto hard = aRecovered.hard;
  LoadRecovered(state, std::move(aRecovered), aActions);
  if (!IsContiguous(state.log)) {
    return Refuse(ErrorKind::StorageFailed,
                  "the recovered log has missing entries");
  }
  state.hard = hard.value_or(HardState{ .recovering = true });
  RefreshMembers(state, aActions);
  ResetFirstElection(state, aNow);
  if (!hard) {
    internal::WriteHardState(state, aActions);
  }
  return state;
}

void
Module::Handle(State& aState,
               const Event& aEvent,
               Instant aNow,
               Actions& aActions)
{
  std::visit(Dispatch{ aState, aNow, aActions, {} }, aEvent);
}

void
Module::Tick(State& aState, Instant aNow, Actions& aActions)
{
  if (aNow >= aState.storageRetryAt) {
    ResumeStorage(aState, aNow, aActions);
  }
  if (aNow >= aState.handOverDeadline) {
    AbandonHandOver(aState, aActions);
  }
  if (aNow >= aState.heartbeatDeadline) {
    Heartbeat(aState, aNow, aActions);
  }
  if (aNow >= aState.electionDeadline) {
    StartPreVote(aState, aNow, aActions);
  }
}

Instant
Module::NextDeadline(const State& aState)
{
  return consensus::NextDeadline(aState);
}

} // namespace balsampoint::consensus
