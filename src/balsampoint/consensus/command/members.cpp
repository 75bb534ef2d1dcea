#include "balsampoint/consensus/command/members.hpp"

#include "balsampoint/consensus/command/replicate.hpp"
#include "balsampoint/consensus/internal/log.hpp"
#include "balsampoint/consensus/internal/quorum.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace balsampoint::consensus {

namespace {

/** @brief Whether an earlier membership change, or the first entry of the
 * leader's term, is not committed yet. */
bool
IsChanging(const State& aState)
{
  return aState.membersIndex > aState.committed ||
         aState.committed < aState.termStart;
}

std::optional<Error>
ChangeRefusal(const State& aState)
{
  if (aState.storageFailed || aState.role != Role::Leader ||
      !aState.handOverTo.Empty()) {
    return MakeError(ErrorKind::ControlUnavailable,
                     "this host does not lead the control group");
  }
  if (IsChanging(aState)) {
    return MakeError(ErrorKind::Conflict,
                     "an earlier membership change is still in progress");
  }
  return std::nullopt;
}

void
RefuseChange(Ticket aTicket, Error aError, Actions& aActions)
{
  aError.executed = Executed::No;
  aActions.emplace_back(Refused{ aTicket, std::move(aError) });
}

void
ProposeMembers(State& aState,
               Membership aMembers,
               Ticket aTicket,
               Instant aNow,
               Actions& aActions)
{
  std::ranges::sort(aMembers.members);
  AppendLocal(
    aState,
    Entry{ .kind = EntryKind::Members, .members = std::move(aMembers) },
    aActions);
  if (aTicket != Ticket{}) {
    aState.proposals[internal::LastIndex(aState.log)] = { aState.hard.term,
                                                          aTicket };
  }
  TrackMembers(aState, aNow);
  Broadcast(aState, aNow, aActions);
}

/** @brief The members but one; the host that replaces it has done so. */
Membership
Without(const Membership& aMembers, const HostId& aHost)
{
  auto rest = aMembers;
  std::erase_if(rest.members, [&aHost](const Member& aMember) {
    return aMember.host == aHost;
  });
  for (auto& member : rest.members) {
    if (member.replaces == aHost) {
      member.replaces = {};
    }
  }
  return rest;
}

Membership
With(const Membership& aMembers, const Member& aMember)
{
  auto more = aMembers;
  more.members.push_back(aMember);
  return more;
}

bool
HasLiveQuorum(const State& aState, const Membership& aMembers, Instant aNow)
{
  return internal::HasQuorum(aMembers, [&](const HostId& aHost) {
    return internal::HasRecentContact(aState, aHost, aNow);
  });
}

/** @brief Whether a learner may become a voter. One that gives no vote yet
 * would only raise the number of votes that an election needs. */
bool
IsCaughtUp(const State& aState, const HostId& aHost, Instant aNow)
{
  const auto found = aState.progress.find(aHost);
  return found != aState.progress.end() && !found->second.recovering &&
         found->second.match >= aState.committed &&
         internal::HasRecentContact(aState, aHost, aNow);
}

Membership
Promoted(const Membership& aMembers, const HostId& aHost)
{
  auto changed = aMembers;
  for (auto& member : changed.members) {
    if (member.host == aHost) {
      member.role = MemberRole::Voter;
    }
  }
  return changed;
}

/** @brief Whether a member is to be replaced. A new leader knows of the silence
 * before its term, but gives each member time to answer it. */
bool
IsLost(const State& aState, const HostId& aHost, Instant aNow)
{
  const auto found = aState.progress.find(aHost);
  return found != aState.progress.end() &&
         !internal::HasRecentContact(aState, aHost, aNow) &&
         aNow - found->second.lastHeardAt >= aState.settings.replaceTimeout;
}

bool
IsBeingReplaced(const Membership& aMembers, const HostId& aHost)
{
  return std::ranges::find(aMembers.members, aHost, &Member::replaces) !=
         aMembers.members.end();
}

/** @brief The standby host whose zone has the fewest members besides the lost
 * one; nothing if all are members. */
std::optional<StandbyHost>
ChooseStandby(const State& aState, const HostId& aLost)
{
  std::optional<StandbyHost> best;
  std::ptrdiff_t fewest = 0;
  const auto rest = Without(aState.members, aLost);
  for (const auto& standby : aState.standbyHosts) {
    if (internal::Find(aState.members, standby.host) != nullptr) {
      continue;
    }
    const auto voters =
      std::ranges::count(rest.members, standby.zone, &Member::zone);
    if (!best || voters < fewest) {
      best = standby;
      fewest = voters;
    }
  }
  return best;
}

} // namespace

void
RefreshMembers(State& aState, Actions& aActions)
{
  const auto last = internal::LastIndex(aState.log);
  auto before =
    std::exchange(aState.members, internal::MembersAt(aState.log, last));
  aState.membersIndex = aState.log.baseIndex;
  for (const auto& entry : aState.log.entries) {
    if (entry.kind == EntryKind::Members) {
      aState.membersIndex = entry.index;
    }
  }
  if (aState.members != before) {
    std::erase_if(aState.lastHeardAt, [&aState](const auto& aPair) {
      return internal::Find(aState.members, aPair.first) == nullptr;
    });
    aActions.emplace_back(
      MembersUpdated{ aState.membersIndex, aState.members });
  }
}

void
HandleAddMember(State& aState,
                const AddMember& aEvent,
                Instant aNow,
                Actions& aActions)
{
  if (auto error = ChangeRefusal(aState)) {
    RefuseChange(aEvent.ticket, std::move(*error), aActions);
    return;
  }
  if (internal::Find(aState.members, aEvent.host) != nullptr) {
    RefuseChange(aEvent.ticket,
                 MakeError(ErrorKind::Conflict, "the host is already a member"),
                 aActions);
    return;
  }
  const Member member{ aEvent.host, aEvent.zone, MemberRole::Learner, {} };
  ProposeMembers(
    aState, With(aState.members, member), aEvent.ticket, aNow, aActions);
}

void
HandleRemoveMember(State& aState,
                   const RemoveMember& aEvent,
                   Instant aNow,
                   Actions& aActions)
{
  auto error = ChangeRefusal(aState);
  const auto rest = Without(aState.members, aEvent.host);
  if (!error && internal::Find(aState.members, aEvent.host) == nullptr) {
    error = MakeError(ErrorKind::NotFound, "the host is not a member");
  }
  if (!error && !HasLiveQuorum(aState, rest, aNow)) {
    error = MakeError(ErrorKind::Conflict,
                      "the remaining voters would have no live quorum");
  }
  if (error) {
    RefuseChange(aEvent.ticket, std::move(*error), aActions);
    return;
  }
  ProposeMembers(aState, rest, aEvent.ticket, aNow, aActions);
}

void
HandleReplaceMember(State& aState,
                    const ReplaceMember& aEvent,
                    Instant aNow,
                    Actions& aActions)
{
  auto error = ChangeRefusal(aState);
  if (!error && internal::Find(aState.members, aEvent.host) == nullptr) {
    error = MakeError(ErrorKind::NotFound, "the host is not a member");
  }
  if (!error && internal::Find(aState.members, aEvent.with) != nullptr) {
    error = MakeError(ErrorKind::Conflict, "the new host is already a member");
  }
  if (!error && IsBeingReplaced(aState.members, aEvent.host)) {
    error = MakeError(ErrorKind::Conflict, "the host is being replaced");
  }
  if (error) {
    RefuseChange(aEvent.ticket, std::move(*error), aActions);
    return;
  }
  const Member member{
    aEvent.with, aEvent.zone, MemberRole::Learner, aEvent.host
  };
  ProposeMembers(
    aState, With(aState.members, member), aEvent.ticket, aNow, aActions);
}

void
ContinueMembers(State& aState, Instant aNow, Actions& aActions)
{
  if (ChangeRefusal(aState)) {
    return;
  }
  for (const auto& member : aState.members.members) {
    if (member.role == MemberRole::Learner) {
      if (!IsCaughtUp(aState, member.host, aNow)) {
        continue;
      }
      const auto changed = Promoted(aState.members, member.host);
      ProposeMembers(aState, changed, {}, aNow, aActions);
      return;
    }
    if (member.replaces.Empty()) {
      continue;
    }
    const auto rest = Without(aState.members, member.replaces);
    if (!HasLiveQuorum(aState, rest, aNow)) {
      continue;
    }
    ProposeMembers(aState, rest, {}, aNow, aActions);
    return;
  }
}

void
RepairMembers(State& aState, Instant aNow, Actions& aActions)
{
  if (ChangeRefusal(aState)) {
    return;
  }
  if (aState.members.members.size() < aState.settings.targetMembers) {
    if (const auto standby = ChooseStandby(aState, {})) {
      const Member learner{
        standby->host, standby->zone, MemberRole::Learner, {}
      };
      ProposeMembers(aState, With(aState.members, learner), {}, aNow, aActions);
      return;
    }
  }
  for (const auto& member : aState.members.members) {
    if (!IsLost(aState, member.host, aNow)) {
      continue;
    }
    if (member.role == MemberRole::Learner) {
      const bool addedByOperator =
        member.replaces.Empty() && aState.settings.targetMembers == 0;
      if (addedByOperator) {
        continue;
      }
      const auto rest = Without(aState.members, member.host);
      ProposeMembers(aState, rest, {}, aNow, aActions);
      return;
    }
    const auto standby = ChooseStandby(aState, member.host);
    if (!standby || IsBeingReplaced(aState.members, member.host)) {
      continue;
    }
    const Member learner{
      standby->host, standby->zone, MemberRole::Learner, member.host
    };
    ProposeMembers(aState, With(aState.members, learner), {}, aNow, aActions);
    return;
  }
}

} // namespace balsampoint::consensus
