#include "balsampoint/consensus/command/snapshot.hpp"

#include "balsampoint/consensus/command/apply.hpp"
#include "balsampoint/consensus/command/elect.hpp"
#include "balsampoint/consensus/command/members.hpp"
#include "balsampoint/consensus/command/replicate.hpp"
#include "balsampoint/consensus/internal/log.hpp"
#include "balsampoint/consensus/internal/quorum.hpp"
#include "balsampoint/consensus/internal/write.hpp"

#include <algorithm>

namespace balsampoint::consensus {

namespace {

/** @brief Appends a part if it starts where the received data ends; returns the
 * bytes received so far. */
std::uint64_t
AppendPart(State& aState, const SnapshotRequest& aRequest)
{
  auto& incomingSnapshot = aState.incomingSnapshot;
  const bool same = incomingSnapshot.index == aRequest.index &&
                    incomingSnapshot.term == aRequest.snapshotTerm;
  if (!same) {
    incomingSnapshot =
      IncomingSnapshot{ aRequest.index, aRequest.snapshotTerm, {} };
  }
  if (aRequest.offset == incomingSnapshot.data.size()) {
    incomingSnapshot.data.insert(
      incomingSnapshot.data.end(), aRequest.data.begin(), aRequest.data.end());
  }
  return incomingSnapshot.data.size();
}

/** @brief Answers proposals whose entries are covered by an installed snapshot;
 * their outcome is unknown. */
void
EndCoveredProposals(State& aState, Actions& aActions)
{
  std::erase_if(aState.proposals, [&](const auto& aPair) {
    if (aPair.first > aState.applied) {
      return false;
    }
    aActions.emplace_back(
      Refused{ aPair.second.ticket,
               MakeError(ErrorKind::OutcomeUnknown,
                         "a snapshot was installed in place of the entry") });
    return true;
  });
}

void
InstallSnapshot(State& aState,
                const SnapshotRequest& aRequest,
                Actions& aActions)
{
  aState.snapshot = { aRequest.index,
                      aRequest.snapshotTerm,
                      aRequest.members,
                      std::move(aState.incomingSnapshot.data) };
  aState.incomingSnapshot = {};
  internal::Reset(aState.log, aState.snapshot);
  internal::MarkNotDurable(aState, aRequest.index.Next());
  aState.committed = aRequest.index;
  aState.applied = aRequest.index;
  RefreshMembers(aState, aActions);
  internal::Write(aState,
                  Persist{ .snapshot = aState.snapshot,
                           .truncate = true,
                           .truncateFrom = aRequest.index.Next() },
                  aActions);
  aActions.emplace_back(Restore{ aRequest.index, aState.snapshot.data });
  EndCoveredProposals(aState, aActions);
}

bool
HoldsEntry(const State& aState, const SnapshotRequest& aRequest)
{
  return aRequest.index <= aState.committed ||
         internal::TermAt(aState.log, aRequest.index) == aRequest.snapshotTerm;
}

} // namespace

void
HandleSnapshotTaken(State& aState,
                    const SnapshotTaken& aEvent,
                    Actions& aActions)
{
  aState.snapshotRequested = false;
  const auto* last = internal::Find(aState.log, aEvent.index);
  if (aEvent.index <= aState.snapshot.index || last == nullptr) {
    return;
  }
  aState.snapshot = { aEvent.index,
                      last->term,
                      internal::MembersAt(aState.log, aEvent.index),
                      aEvent.data };
  const auto kept = aState.settings.retainedEntries;
  if (aEvent.index.Value() > kept) {
    internal::Compact(aState.log, Index{ aEvent.index.Value() - kept });
  }
  for (auto& [host, progress] : aState.progress) {
    progress.snapshotReceived = 0;
  }
  internal::Write(aState, Persist{ .snapshot = aState.snapshot }, aActions);
}

void
SendSnapshotPart(State& aState,
                 const HostId& aTo,
                 Instant aNow,
                 Actions& aActions)
{
  const auto& snapshot = aState.snapshot;
  const std::span data{ snapshot.data };
  const auto offset = std::min<std::size_t>(
    aState.progress.at(aTo).snapshotReceived, data.size());
  const auto bound = internal::HasRecentContact(aState, aTo, aNow)
                       ? aState.settings.snapshotPartBytes
                       : 0;
  const auto size = std::min(bound, data.size() - offset);
  const auto part = data.subspan(offset, size);
  aActions.emplace_back(
    Send{ aTo,
          SnapshotRequest{ .term = aState.hard.term,
                           .index = snapshot.index,
                           .snapshotTerm = snapshot.term,
                           .members = snapshot.members,
                           .offset = offset,
                           .size = data.size(),
                           .data = { part.begin(), part.end() },
                           .round = aState.round } });
}

void
HandleSnapshotRequest(State& aState,
                      const HostId& aFrom,
                      const SnapshotRequest& aRequest,
                      Instant aNow,
                      Actions& aActions)
{
  SnapshotReply reply{ aState.hard.term, aRequest.index, 0, aRequest.round };
  if (aRequest.term < aState.hard.term) {
    internal::SendWhenDurable(aState, aFrom, reply, aActions);
    return;
  }
  BecomeFollower(aState, aRequest.term, aFrom, aNow, aActions);
  aState.leaderContactAt = aNow;
  reply.term = aState.hard.term;
  if (HoldsEntry(aState, aRequest)) {
    aState.committed = std::max(aState.committed, aRequest.index);
    ApplyCommitted(aState, aNow, aActions);
    reply.received = aRequest.size;
  } else {
    reply.received = AppendPart(aState, aRequest);
    if (reply.received >= aRequest.size) {
      InstallSnapshot(aState, aRequest, aActions);
    }
  }
  internal::SendWhenDurable(aState, aFrom, reply, aActions);
}

void
HandleSnapshotReply(State& aState,
                    const HostId& aFrom,
                    const SnapshotReply& aReply,
                    Instant aNow,
                    Actions& aActions)
{
  if (aReply.term > aState.hard.term) {
    BecomeFollower(aState, aReply.term, {}, aNow, aActions);
    return;
  }
  const auto found = aState.progress.find(aFrom);
  if (aState.role != Role::Leader || aReply.term != aState.hard.term ||
      found == aState.progress.end()) {
    return;
  }
  auto& progress = found->second;
  progress.lastContactAt = aNow;
  progress.lastHeardAt = aNow;
  progress.answered = true;
  progress.round = std::max(progress.round, aReply.round);
  const bool current = aReply.index == aState.snapshot.index;
  progress.snapshotReceived = current ? aReply.received : 0;
  if (current && aReply.received >= aState.snapshot.data.size()) {
    progress.snapshotReceived = 0;
    progress.match = std::max(progress.match, aReply.index);
    progress.next = std::max(progress.next, progress.match.Next());
  }
  if (progress.next <= internal::LastIndex(aState.log)) {
    Replicate(aState, aFrom, aNow, aActions);
  }
  AfterReply(aState, aNow, aActions);
}

} // namespace balsampoint::consensus
