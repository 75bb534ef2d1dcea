#include "balsampoint/change/command/lead.hpp"

#include "balsampoint/change/command/decide.hpp"

#include <algorithm>

namespace balsampoint::change {

namespace {

/** @brief Answers an attempt, locally or by a message to its origin. */
void
Reply(State& aState,
      const Proposed& aProposed,
      std::optional<Answer> aAnswer,
      Actions& aActions)
{
  const bool local = aProposed.origin == aState.settings.self;
  if (!local) {
    aActions.emplace_back(Send{ aProposed.origin,
                                SubmissionReply{ aProposed.ticket,
                                                 aProposed.attempt,
                                                 aProposed.change,
                                                 std::move(aAnswer),
                                                 aState.leader } });
    return;
  }
  const auto found = aState.pending.find(aProposed.ticket);
  if (found == aState.pending.end()) {
    return;
  }
  if (!aAnswer) {
    found->second.openAttempts.erase(aProposed.attempt);
    return;
  }
  aActions.emplace_back(Answered{ aProposed.ticket, *aAnswer });
  aState.pending.erase(found);
}

/** @brief The answer to a change that is already decided. The table holds only
 * committed decisions, so any replica may return it. */
std::optional<Answer>
KnownAnswer(const State& aState, const Change& aChange)
{
  const auto found = aState.table.decided.find(aChange.id);
  if (found == aState.table.decided.end() ||
      found->second.number != aChange.number ||
      found->second.digest != aChange.digest) {
    return std::nullopt;
  }
  return found->second.answer;
}

/** @brief Whether an earlier attempt of the same submission is still pending.
 */
bool
IsProposed(const State& aState, const Proposed& aProposed)
{
  return std::ranges::any_of(aState.proposed, [&](const auto& aPair) {
    return aPair.second.origin == aProposed.origin &&
           aPair.second.ticket == aProposed.ticket &&
           aPair.second.change == aProposed.change;
  });
}

} // namespace

void
HandleSubmission(State& aState,
                 const HostId& aFrom,
                 const Submission& aSubmission,
                 Actions& aActions)
{
  const Proposed proposed{
    aFrom, aSubmission.ticket, aSubmission.attempt, aSubmission.change.id
  };
  const auto known = KnownAnswer(aState, aSubmission.change);
  if (known || aState.leader != aState.settings.self) {
    Reply(aState, proposed, known, aActions);
    return;
  }
  if (IsProposed(aState, proposed)) {
    return;
  }
  aState.lastProposal = aState.lastProposal.Next();
  aState.proposed[aState.lastProposal] = proposed;
  aActions.emplace_back(Propose{ aState.lastProposal, aSubmission.change });
}

void
HandleCommitted(State& aState, const Committed& aEvent, Actions& aActions)
{
  const auto before = aState.table.number;
  const auto answer = Decide(aState.table, aEvent.change);
  if (aState.table.number != before) {
    const auto& change = aEvent.change;
    aActions.emplace_back(
      Accepted{ aState.table.number,
                aState.table.sections,
                { { change.number, change.id, change.author } } });
  }
  const auto found = aState.proposed.find(aEvent.ticket);
  if (found == aState.proposed.end()) {
    return;
  }
  Reply(aState, found->second, answer, aActions);
  aState.proposed.erase(found);
}

void
HandleProposalRefused(State& aState,
                      const ProposalRefused& aEvent,
                      Actions& aActions)
{
  const auto found = aState.proposed.find(aEvent.ticket);
  if (found == aState.proposed.end()) {
    return;
  }
  if (aEvent.executed == Executed::No) {
    Reply(aState, found->second, std::nullopt, aActions);
  }
  aState.proposed.erase(found);
}

void
HandleRestored(State& aState, const Restored& aEvent, Actions& aActions)
{
  aState.table = aEvent.table;
  const auto& table = aState.table;
  if (table.number == ChangeNumber{}) {
    return;
  }
  Accepted accepted{ table.number, table.sections, {} };
  for (const auto& [number, id] : table.winners) {
    accepted.changes.push_back({ number, id, table.decided.at(id).author });
  }
  aActions.emplace_back(std::move(accepted));
}

} // namespace balsampoint::change
