#include "balsampoint/change/command/submit.hpp"

#include "balsampoint/change/command/lead.hpp"

namespace balsampoint::change {

namespace {

HostId
ChooseTarget(State& aState)
{
  if (!aState.leader.Empty()) {
    return aState.leader;
  }
  const auto& seeds = aState.settings.seeds;
  return seeds.empty() ? HostId{} : seeds[aState.nextSeed++ % seeds.size()];
}

void
SendAttempt(State& aState, Ticket aTicket, Instant aNow, Actions& aActions)
{
  auto& pending = aState.pending.at(aTicket);
  pending.retryAt = aNow + aState.settings.retryInterval;
  const auto target = ChooseTarget(aState);
  if (target.Empty()) {
    return;
  }
  pending.attempts = pending.attempts.Next();
  const Submission submission{ aTicket, pending.attempts, pending.change };
  if (target == aState.settings.self) {
    if (aState.leader == target) {
      pending.openAttempts.insert(pending.attempts);
      HandleSubmission(aState, target, submission, aActions);
    }
    return;
  }
  pending.openAttempts.insert(pending.attempts);
  aActions.emplace_back(Send{ target, submission });
}

Answered
TimedOut(Ticket aTicket, const Pending& aPending)
{
  const bool unknown = !aPending.openAttempts.empty();
  auto error = MakeError(
    unknown ? ErrorKind::OutcomeUnknown : ErrorKind::ControlUnavailable,
    unknown ? "no answer from the control group in time; the same "
              "change may be sent again under its id"
            : "no leader of the control group is reachable");
  error.executed = unknown ? Executed::Unknown : Executed::No;
  return { aTicket, tl::unexpected(std::move(error)) };
}

} // namespace

void
HandleSubmit(State& aState,
             const Submit& aEvent,
             Instant aNow,
             Actions& aActions)
{
  aState.pending[aEvent.ticket] = { .change = aEvent.change,
                                    .deadline =
                                      aNow + aState.settings.timeout };
  SendAttempt(aState, aEvent.ticket, aNow, aActions);
}

void
RetryPending(State& aState, Instant aNow, Actions& aActions)
{
  std::vector<Ticket> due;
  std::erase_if(aState.pending, [&](const auto& aPair) {
    if (aPair.second.deadline <= aNow) {
      aActions.emplace_back(TimedOut(aPair.first, aPair.second));
      return true;
    }
    if (aPair.second.retryAt <= aNow) {
      due.push_back(aPair.first);
    }
    return false;
  });
  if (!due.empty() && aState.leader != aState.settings.self) {
    aState.leader = {};
  }
  for (const auto ticket : due) {
    SendAttempt(aState, ticket, aNow, aActions);
  }
}

void
HandleLeaderKnown(State& aState,
                  const LeaderKnown& aEvent,
                  Instant aNow,
                  Actions& aActions)
{
  aState.leader = aEvent.leader;
  if (aState.leader.Empty()) {
    return;
  }
  std::vector<Ticket> tickets;
  tickets.reserve(aState.pending.size());
  for (const auto& [ticket, pending] : aState.pending) {
    tickets.push_back(ticket);
  }
  for (const auto ticket : tickets) {
    SendAttempt(aState, ticket, aNow, aActions);
  }
}

void
HandleReply(State& aState,
            const SubmissionReply& aReply,
            Instant aNow,
            Actions& aActions)
{
  const auto found = aState.pending.find(aReply.ticket);
  if (found == aState.pending.end() ||
      found->second.change.id != aReply.change) {
    return;
  }
  if (aReply.answer) {
    aActions.emplace_back(Answered{ aReply.ticket, *aReply.answer });
    aState.pending.erase(found);
    return;
  }
  found->second.openAttempts.erase(aReply.attempt);
  const bool newLeader =
    !aReply.leader.Empty() && aReply.leader != aState.leader;
  aState.leader = aReply.leader;
  if (newLeader) {
    SendAttempt(aState, aReply.ticket, aNow, aActions);
  }
}

} // namespace balsampoint::change
