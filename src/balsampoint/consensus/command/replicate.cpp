#include "balsampoint/consensus/command/replicate.hpp"

#include "balsampoint/consensus/command/apply.hpp"
#include "balsampoint/consensus/command/elect.hpp"
#include "balsampoint/consensus/command/hand_over.hpp"
#include "balsampoint/consensus/command/members.hpp"
#include "balsampoint/consensus/command/read.hpp"
#include "balsampoint/consensus/command/snapshot.hpp"
#include "balsampoint/consensus/internal/log.hpp"
#include "balsampoint/consensus/internal/quorum.hpp"
#include "balsampoint/consensus/internal/write.hpp"

#include <algorithm>

namespace balsampoint::consensus {

namespace {

/** @brief The last entry that is durable on a majority of the voters. */
Index
QuorumIndex(const State& aState)
{
  std::vector<Index> matches;
  for (const auto& member : aState.members.members) {
    if (member.role != MemberRole::Voter) {
      continue;
    }
    if (member.host == aState.settings.self) {
      matches.push_back(aState.durableIndex);
      continue;
    }
    const auto found = aState.progress.find(member.host);
    matches.push_back(found == aState.progress.end() ? Index{}
                                                     : found->second.match);
  }
  if (matches.empty()) {
    return {};
  }
  std::ranges::sort(matches, std::greater<>{});
  return matches[matches.size() / 2];
}

/** @brief Index after which the leader should retry following a mismatch; skips
 * all uncommitted entries of one term at once. */
Index
MismatchHint(const State& aState, Index aPrevious)
{
  auto hint =
    std::min(Index{ aPrevious.Value() - 1 }, internal::LastIndex(aState.log));
  const auto term = internal::TermAt(aState.log, hint);
  while (hint > aState.committed &&
         internal::TermAt(aState.log, hint) == term) {
    hint = Index{ hint.Value() - 1 };
  }
  return std::max(hint, aState.committed);
}

/** @brief The entries from the first one on that the log lacks or holds with
 * another term. */
std::span<const Entry>
NewEntries(const State& aState, std::span<const Entry> aEntries)
{
  std::size_t known = 0;
  for (const auto& entry : aEntries) {
    const bool covered = entry.index <= aState.log.baseIndex;
    if (!covered && internal::TermAt(aState.log, entry.index) != entry.term) {
      break;
    }
    ++known;
  }
  return aEntries.subspan(known);
}

void
AppendNewEntries(State& aState,
                 std::span<const Entry> aEntries,
                 Actions& aActions)
{
  const auto newEntries = NewEntries(aState, aEntries);
  if (newEntries.empty()) {
    return;
  }
  Persist persist{ .entries = { newEntries.begin(), newEntries.end() } };
  if (newEntries.front().index <= internal::LastIndex(aState.log)) {
    persist.truncate = true;
    persist.truncateFrom = newEntries.front().index;
    internal::Truncate(aState.log, newEntries.front().index);
    internal::MarkNotDurable(aState, newEntries.front().index);
  }
  aState.log.entries.insert(
    aState.log.entries.end(), newEntries.begin(), newEntries.end());
  RefreshMembers(aState, aActions);
  internal::Write(aState, std::move(persist), aActions);
}

/** @brief Ends recovery once all entries that the leader has committed are
 * durable here and the last of them is of the leader's own term. */
void
EndRecovery(State& aState, const AppendRequest& aRequest, Actions& aActions)
{
  const bool current =
    internal::TermAt(aState.log, aRequest.committed) == aRequest.term;
  if (!aState.hard.recovering || !current ||
      aState.durableIndex < aRequest.committed) {
    return;
  }
  aState.hard.recovering = false;
  internal::WriteHardState(aState, aActions);
  aActions.emplace_back(RecoveryEnded{ aState.durableIndex });
}

bool
MatchesPrevious(const State& aState, const AppendRequest& aRequest)
{
  return aRequest.previousIndex >= aState.log.baseIndex &&
         internal::TermAt(aState.log, aRequest.previousIndex) ==
           aRequest.previousTerm;
}

/** @brief Takes over which members the leader hears of. */
void
RecordSilences(State& aState, const AppendRequest& aRequest, Instant aNow)
{
  for (const auto& member : aState.members.members) {
    if (member.host == aState.settings.self) {
      continue;
    }
    const auto silence =
      std::ranges::find(aRequest.silences, member.host, &Silence::host);
    const bool silent = silence != aRequest.silences.end();
    auto& heardAt = aState.lastHeardAt[member.host];
    heardAt = std::max(heardAt, silent ? aNow - silence->duration : aNow);
  }
}

std::vector<Silence>
SilencesOf(const State& aState, Instant aNow)
{
  std::vector<Silence> silences;
  for (const auto& [host, progress] : aState.progress) {
    if (!internal::HasRecentContact(aState, host, aNow)) {
      silences.push_back({ host, aNow - progress.lastHeardAt });
    }
  }
  return silences;
}

void
RecordReply(Progress& aProgress, const AppendReply& aReply, Instant aNow)
{
  aProgress.lastContactAt = aNow;
  aProgress.lastHeardAt = aNow;
  aProgress.answered = true;
  aProgress.recovering = aReply.recovering;
  aProgress.round = std::max(aProgress.round, aReply.round);
  if (!aReply.accepted) {
    aProgress.match = std::min(aProgress.match, aReply.index);
    aProgress.next = aReply.index.Next();
    return;
  }
  aProgress.match = std::max(aProgress.match, aReply.index);
  aProgress.next = std::max(aProgress.next, aProgress.match.Next());
}

} // namespace

void
AppendLocal(State& aState, Entry aEntry, Actions& aActions)
{
  aEntry.index = internal::LastIndex(aState.log).Next();
  aEntry.term = aState.hard.term;
  aState.log.entries.push_back(aEntry);
  if (aEntry.kind == EntryKind::Members) {
    RefreshMembers(aState, aActions);
  }
  internal::Write(
    aState, Persist{ .entries = { std::move(aEntry) } }, aActions);
}

void
TrackMembers(State& aState, Instant aNow)
{
  const auto next = internal::LastIndex(aState.log).Next();
  for (const auto& member : aState.members.members) {
    if (member.host == aState.settings.self) {
      continue;
    }
    const auto heard = aState.lastHeardAt.find(member.host);
    const auto heardAt =
      heard == aState.lastHeardAt.end() ? aNow : heard->second;
    aState.progress.try_emplace(
      member.host,
      Progress{ .next = next, .lastContactAt = aNow, .lastHeardAt = heardAt });
  }
}

void
Broadcast(State& aState, Instant aNow, Actions& aActions)
{
  for (const auto& [host, progress] : aState.progress) {
    Replicate(aState, host, aNow, aActions);
  }
}

void
Replicate(State& aState, const HostId& aTo, Instant aNow, Actions& aActions)
{
  auto& progress = aState.progress.at(aTo);
  if (progress.next <= aState.log.baseIndex) {
    SendSnapshotPart(aState, aTo, aNow, aActions);
    return;
  }
  const Index previous{ progress.next.Value() - 1 };
  AppendRequest request{
    .term = aState.hard.term,
    .previousIndex = previous,
    .previousTerm = internal::TermAt(aState.log, previous).value_or(Term{}),
    .committed = aState.committed,
    .round = aState.round,
    .silences = SilencesOf(aState, aNow)
  };
  if (internal::HasRecentContact(aState, aTo, aNow)) {
    request.entries = internal::Slice(
      aState.log, progress.next, aState.settings.maxAppendBytes);
    progress.next = Index{ progress.next.Value() + request.entries.size() };
  }
  aActions.emplace_back(Send{ aTo, std::move(request) });
}

void
Heartbeat(State& aState, Instant aNow, Actions& aActions)
{
  const auto hasContact = [&aState, aNow](const HostId& aHost) {
    return internal::HasRecentContact(aState, aHost, aNow);
  };
  if (!internal::HasQuorum(aState.members, hasContact)) {
    BecomeFollower(aState, aState.hard.term, {}, aNow, aActions);
    return;
  }
  aState.heartbeatDeadline = aNow + aState.settings.heartbeatInterval;
  aState.round = aState.round.Next();
  for (auto& [host, progress] : aState.progress) {
    if (!progress.answered) {
      progress.next = progress.match.Next();
    }
    progress.answered = false;
  }
  Broadcast(aState, aNow, aActions);
  RepairMembers(aState, aNow, aActions);
}

void
AdvanceCommit(State& aState, Instant aNow, Actions& aActions)
{
  const auto index = QuorumIndex(aState);
  const bool own = internal::TermAt(aState.log, index) == aState.hard.term;
  if (index > aState.committed && own) {
    aState.committed = index;
    Broadcast(aState, aNow, aActions);
  }
  ApplyCommitted(aState, aNow, aActions);
}

void
StepDown(State& aState, Actions& aActions)
{
  RefuseReads(aState, aActions);
  aState.progress.clear();
  if (!aState.handOverTo.Empty()) {
    aState.handOverTo = {};
    aState.handOverDeadline = kNever;
    aActions.emplace_back(HandOverEnded{ true });
  }
}

void
HandleAppendRequest(State& aState,
                    const HostId& aFrom,
                    const AppendRequest& aRequest,
                    Instant aNow,
                    Actions& aActions)
{
  AppendReply reply{ .term = aState.hard.term, .round = aRequest.round };
  if (aRequest.term < aState.hard.term) {
    internal::SendWhenDurable(aState, aFrom, reply, aActions);
    return;
  }
  BecomeFollower(aState, aRequest.term, aFrom, aNow, aActions);
  aState.leaderContactAt = aNow;
  RecordSilences(aState, aRequest, aNow);
  reply.term = aState.hard.term;
  if (!MatchesPrevious(aState, aRequest)) {
    reply.index = aRequest.previousIndex < aState.log.baseIndex
                    ? aState.committed
                    : MismatchHint(aState, aRequest.previousIndex);
    internal::SendWhenDurable(aState, aFrom, reply, aActions);
    return;
  }
  AppendNewEntries(aState, aRequest.entries, aActions);
  const Index last{ aRequest.previousIndex.Value() + aRequest.entries.size() };
  aState.committed =
    std::max(aState.committed, std::min(aRequest.committed, last));
  ApplyCommitted(aState, aNow, aActions);
  EndRecovery(aState, aRequest, aActions);
  reply.accepted = true;
  reply.index = last;
  reply.recovering = aState.hard.recovering;
  internal::SendWhenDurable(aState, aFrom, reply, aActions);
}

void
HandleAppendReply(State& aState,
                  const HostId& aFrom,
                  const AppendReply& aReply,
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
  RecordReply(found->second, aReply, aNow);
  if (found->second.next <= internal::LastIndex(aState.log)) {
    Replicate(aState, aFrom, aNow, aActions);
  }
  AfterReply(aState, aNow, aActions);
}

void
AfterReply(State& aState, Instant aNow, Actions& aActions)
{
  AdvanceCommit(aState, aNow, aActions);
  if (aState.role != Role::Leader) {
    return;
  }
  AnswerReads(aState, aActions);
  ContinueHandOver(aState, aActions);
  ContinueMembers(aState, aNow, aActions);
}

} // namespace balsampoint::consensus
