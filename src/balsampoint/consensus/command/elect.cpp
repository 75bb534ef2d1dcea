#include "balsampoint/consensus/command/elect.hpp"

#include "balsampoint/consensus/command/replicate.hpp"
#include "balsampoint/consensus/internal/log.hpp"
#include "balsampoint/consensus/internal/quorum.hpp"
#include "balsampoint/consensus/internal/write.hpp"

namespace balsampoint::consensus {

namespace {

/** @brief Whether the host has neither a durable term nor log entries. */
bool
IsFresh(const State& aState)
{
  return aState.hard.recovering && aState.hard.term == Term{} &&
         internal::LastIndex(aState.log) == Index{};
}

bool
CanCampaign(const State& aState)
{
  const auto& self = aState.settings.self;
  const bool able = !aState.hard.recovering || IsFresh(aState);
  return able && !aState.storageFailed &&
         internal::IsVoter(aState.members, self);
}

bool
LeaderIsAlive(const State& aState, Instant aNow)
{
  if (aState.role == Role::Leader) {
    return true;
  }
  return aState.leaderKnown &&
         aNow - aState.leaderContactAt < aState.settings.electionTimeoutMin;
}

bool
IsUpToDate(const State& aState, const VoteRequest& aRequest)
{
  const auto ownTerm = internal::LastTerm(aState.log);
  if (aRequest.lastTerm != ownTerm) {
    return aRequest.lastTerm > ownTerm;
  }
  return aRequest.lastIndex >= internal::LastIndex(aState.log);
}

/** @brief Whether a vote may be granted. A host without its durable state votes
 * only if both it and the candidate are fresh. */
bool
CanGrantVote(const State& aState, const VoteRequest& aRequest)
{
  if (aState.hard.recovering && !(IsFresh(aState) && aRequest.fresh)) {
    return false;
  }
  const bool known =
    aState.members.members.empty() ||
    internal::Find(aState.members, aState.settings.self) != nullptr;
  return known && IsUpToDate(aState, aRequest);
}

void
SendVoteRequests(State& aState, const VoteRequest& aRequest, Actions& aActions)
{
  for (const auto& member : aState.members.members) {
    if (member.role != MemberRole::Voter ||
        member.host == aState.settings.self) {
      continue;
    }
    internal::SendWhenDurable(aState, member.host, aRequest, aActions);
  }
}

/** @brief Whether enough voters have granted. The pre-vote of a fresh host
 * needs every voter, since a lost disk looks the same as a first start. */
bool
HasWon(const State& aState, bool aNeedsAll)
{
  const auto granted = [&aState](const HostId& aHost) {
    return aState.grantedVotes.contains(aHost);
  };
  if (!aNeedsAll) {
    return internal::HasQuorum(aState.members, granted);
  }
  for (const auto& member : aState.members.members) {
    if (member.role == MemberRole::Voter && !granted(member.host)) {
      return false;
    }
  }
  return true;
}

/**
 * @brief Creates the first entry of a leader's term. The first entry of an
 * empty log records the members, so that a restarted host knows them without
 * its settings.
 */
Entry
FirstEntryOfTerm(const State& aState)
{
  if (internal::LastIndex(aState.log) == Index{} &&
      !aState.members.members.empty()) {
    return { .kind = EntryKind::Members, .members = aState.members };
  }
  return { .kind = EntryKind::Empty };
}

void
BecomeLeader(State& aState, Instant aNow, Actions& aActions)
{
  aState.role = Role::Leader;
  aState.leader = aState.settings.self;
  aState.anyLeaderKnown = true;
  aState.electionDeadline = kNever;
  aState.heartbeatDeadline = aNow + aState.settings.heartbeatInterval;
  aState.round = aState.round.Next();
  aState.progress.clear();
  aState.grantedVotes.clear();
  aActions.emplace_back(LeaderChanged{ aState.hard.term, aState.leader });
  aState.termStart = internal::LastIndex(aState.log).Next();
  TrackMembers(aState, aNow);
  AppendLocal(aState, FirstEntryOfTerm(aState), aActions);
  Broadcast(aState, aNow, aActions);
}

VoteRequest
MakeVoteRequest(const State& aState)
{
  return { .term = aState.hard.term,
           .lastIndex = internal::LastIndex(aState.log),
           .lastTerm = internal::LastTerm(aState.log),
           .fresh = IsFresh(aState) };
}

void
AnswerVote(State& aState,
           const HostId& aFrom,
           bool aCanGrant,
           Instant aNow,
           Actions& aActions)
{
  const bool voteAvailable =
    aState.hard.vote.Empty() || aState.hard.vote == aFrom;
  const bool granted =
    aCanGrant && voteAvailable && aState.role != Role::Leader;
  if (granted && aState.hard.vote.Empty()) {
    aState.hard.vote = aFrom;
    aState.hard.recovering = false;
    internal::WriteHardState(aState, aActions);
    ResetElection(aState, aNow);
  }
  internal::SendWhenDurable(
    aState, aFrom, VoteReply{ aState.hard.term, false, granted }, aActions);
}

void
AnswerPreVote(State& aState,
              const HostId& aFrom,
              const VoteRequest& aRequest,
              Actions& aActions)
{
  const bool granted =
    aRequest.term > aState.hard.term && CanGrantVote(aState, aRequest);
  const auto term = granted ? aRequest.term : aState.hard.term;
  internal::SendWhenDurable(
    aState, aFrom, VoteReply{ term, true, granted }, aActions);
}

/** @brief Picks a random duration between two bounds, inclusive. */
Duration
RandomBetween(State& aState, Duration aMin, Duration aMax)
{
  const auto steps = static_cast<std::uint64_t>((aMax - aMin).count()) + 1;
  const auto extra = aState.random.Next() % steps;
  return aMin + Duration{ static_cast<Duration::rep>(extra) };
}

} // namespace

void
ResetElection(State& aState, Instant aNow)
{
  const auto& settings = aState.settings;
  aState.electionDeadline = aNow + RandomBetween(aState,
                                                 settings.electionTimeoutMin,
                                                 settings.electionTimeoutMax);
}

void
ResetFirstElection(State& aState, Instant aNow)
{
  const auto& settings = aState.settings;
  aState.electionDeadline =
    aNow + RandomBetween(aState,
                         settings.firstElectionTimeoutMin,
                         settings.firstElectionTimeoutMax);
}

void
BecomeFollower(State& aState,
               Term aTerm,
               const HostId& aLeader,
               Instant aNow,
               Actions& aActions)
{
  const bool changed = aState.leader != aLeader || aState.hard.term != aTerm;
  if (aState.role == Role::Leader) {
    StepDown(aState, aActions);
  }
  if (aTerm > aState.hard.term) {
    aState.hard.term = aTerm;
    aState.hard.vote = {};
    internal::WriteHardState(aState, aActions);
  }
  aState.role = Role::Follower;
  aState.leader = aLeader;
  aState.leaderKnown = !aLeader.Empty();
  aState.anyLeaderKnown = aState.anyLeaderKnown || aState.leaderKnown;
  aState.heartbeatDeadline = kNever;
  aState.grantedVotes.clear();
  ResetElection(aState, aNow);
  if (changed) {
    aActions.emplace_back(LeaderChanged{ aTerm, aLeader });
  }
}

void
StartPreVote(State& aState, Instant aNow, Actions& aActions)
{
  // A pre-vote changes no state, so a host whose peers are still starting can
  // retry it soon.
  if (aState.anyLeaderKnown) {
    ResetElection(aState, aNow);
  } else {
    ResetFirstElection(aState, aNow);
  }
  if (!aState.leader.Empty()) {
    aState.leader = {};
    aActions.emplace_back(LeaderChanged{ aState.hard.term, {} });
  }
  aActions.emplace_back(LeaderMissing{
    aState.hard.term, aState.hard.recovering, aState.grantedVotes });
  if (!CanCampaign(aState)) {
    return;
  }
  aState.role = Role::PreCandidate;
  aState.leaderKnown = false;
  aState.grantedVotes = { aState.settings.self };
  auto request = MakeVoteRequest(aState);
  request.preVote = true;
  request.term = request.term.Next();
  SendVoteRequests(aState, request, aActions);
  if (HasWon(aState, request.fresh)) {
    StartElection(aState, false, aNow, aActions);
  }
}

void
StartElection(State& aState, bool aHandOver, Instant aNow, Actions& aActions)
{
  if (!CanCampaign(aState)) {
    return;
  }
  auto request = MakeVoteRequest(aState);
  request.handOver = aHandOver;
  aState.role = Role::Candidate;
  aState.grantedVotes.clear();
  aState.hard = { aState.hard.term.Next(), aState.settings.self, false };
  request.term = aState.hard.term;
  internal::WriteHardState(aState, aActions);
  ResetElection(aState, aNow);
  SendVoteRequests(aState, request, aActions);
}

void
CountOwnVote(State& aState, Instant aNow, Actions& aActions)
{
  if (aState.role != Role::Candidate ||
      aState.durableWrite != aState.lastWrite) {
    return;
  }
  aState.grantedVotes.insert(aState.settings.self);
  if (HasWon(aState, false)) {
    BecomeLeader(aState, aNow, aActions);
  }
}

void
HandleVoteRequest(State& aState,
                  const HostId& aFrom,
                  const VoteRequest& aRequest,
                  Instant aNow,
                  Actions& aActions)
{
  const bool notVoter = !aState.members.members.empty() &&
                        !internal::IsVoter(aState.members, aFrom);
  const bool interrupts = !aRequest.handOver && LeaderIsAlive(aState, aNow);
  if (notVoter || interrupts) {
    return;
  }
  if (aRequest.preVote) {
    AnswerPreVote(aState, aFrom, aRequest, aActions);
    return;
  }
  const bool canGrant =
    aRequest.term >= aState.hard.term && CanGrantVote(aState, aRequest);
  if (IsFresh(aState) && !canGrant) {
    return;
  }
  if (aRequest.term > aState.hard.term) {
    BecomeFollower(aState, aRequest.term, {}, aNow, aActions);
  }
  AnswerVote(aState, aFrom, canGrant, aNow, aActions);
}

void
HandleVoteReply(State& aState,
                const HostId& aFrom,
                const VoteReply& aReply,
                Instant aNow,
                Actions& aActions)
{
  if (!aReply.granted) {
    if (aReply.term > aState.hard.term) {
      BecomeFollower(aState, aReply.term, {}, aNow, aActions);
    }
    return;
  }
  if (aReply.preVote && aState.role == Role::PreCandidate &&
      aReply.term == aState.hard.term.Next()) {
    aState.grantedVotes.insert(aFrom);
    if (HasWon(aState, IsFresh(aState))) {
      StartElection(aState, false, aNow, aActions);
    }
    return;
  }
  if (!aReply.preVote && aState.role == Role::Candidate &&
      aReply.term == aState.hard.term) {
    aState.grantedVotes.insert(aFrom);
    if (HasWon(aState, false)) {
      BecomeLeader(aState, aNow, aActions);
    }
  }
}

} // namespace balsampoint::consensus
