#include "balsampoint/consensus/command/apply.hpp"

#include "balsampoint/consensus/command/elect.hpp"
#include "balsampoint/consensus/internal/log.hpp"
#include "balsampoint/consensus/internal/quorum.hpp"

#include <algorithm>

namespace balsampoint::consensus {

namespace {

/** @brief Removes the proposal made for an index and returns its ticket; zero
 * if there is none. Refuses the proposal if another leader's entry took its
 * place.
 */
Ticket
CompleteProposal(State& aState, const Entry& aEntry, Actions& aActions)
{
  const auto found = aState.proposals.find(aEntry.index);
  if (found == aState.proposals.end()) {
    return {};
  }
  const auto proposal = found->second;
  aState.proposals.erase(found);
  if (proposal.term == aEntry.term) {
    return proposal.ticket;
  }
  auto error =
    MakeError(ErrorKind::ControlUnavailable,
              "a new leader replaced the entry before it was committed");
  error.executed = Executed::No;
  aActions.emplace_back(Refused{ proposal.ticket, std::move(error) });
  return {};
}

void
ApplyMembers(State& aState,
             const Entry& aEntry,
             Ticket aTicket,
             Instant aNow,
             Actions& aActions)
{
  if (aTicket != Ticket{}) {
    aActions.emplace_back(MembersChanged{ aTicket, aEntry.members });
  }
  if (aState.role != Role::Leader || aEntry.index != aState.membersIndex) {
    return;
  }
  std::erase_if(aState.progress, [&aState](const auto& aPair) {
    return internal::Find(aState.members, aPair.first) == nullptr;
  });
  if (!internal::IsVoter(aState.members, aState.settings.self)) {
    BecomeFollower(aState, aState.hard.term, {}, aNow, aActions);
  }
}

void
RequestSnapshot(State& aState, Actions& aActions)
{
  const auto since = aState.applied.Value() - aState.snapshot.index.Value();
  if (aState.snapshotRequested ||
      since < aState.settings.snapshotAfterEntries) {
    return;
  }
  aState.snapshotRequested = true;
  aActions.emplace_back(TakeSnapshot{ aState.applied });
}

} // namespace

void
ApplyCommitted(State& aState, Instant aNow, Actions& aActions)
{
  const auto end = std::min(aState.committed, aState.durableIndex);
  while (aState.applied < end) {
    const auto index = aState.applied.Next();
    const Entry entry = *internal::Find(aState.log, index);
    aState.applied = index;
    const bool firstOfTerm =
      aState.role == Role::Leader && index == aState.termStart;
    const auto ticket = CompleteProposal(aState, entry, aActions);
    if (entry.kind == EntryKind::Command) {
      aActions.emplace_back(Apply{ index, entry.term, entry.command, ticket });
      continue;
    }
    if (entry.kind == EntryKind::Members) {
      ApplyMembers(aState, entry, ticket, aNow, aActions);
    }
    if (firstOfTerm && aState.role == Role::Leader) {
      aActions.emplace_back(
        LeadershipEstablished{ aState.hard.term, aState.leader });
    }
  }
  RequestSnapshot(aState, aActions);
}

} // namespace balsampoint::consensus
