#include "balsampoint/consensus/command/read.hpp"

#include "balsampoint/consensus/command/replicate.hpp"
#include "balsampoint/consensus/internal/quorum.hpp"

#include <algorithm>

namespace balsampoint::consensus {

namespace {

Refused
RefuseRead(Ticket aTicket)
{
  return { aTicket,
           MakeError(ErrorKind::ControlUnavailable,
                     "this host does not lead the control group") };
}

bool
IsConfirmed(const State& aState, const PendingRead& aRead)
{
  const auto answered = [&aState, &aRead](const HostId& aHost) {
    if (aHost == aState.settings.self) {
      return true;
    }
    const auto found = aState.progress.find(aHost);
    return found != aState.progress.end() && found->second.round >= aRead.round;
  };
  return aState.applied >= aRead.index &&
         internal::HasQuorum(aState.members, answered);
}

} // namespace

void
HandleConfirmLeader(State& aState,
                    const ConfirmLeader& aEvent,
                    Instant aNow,
                    Actions& aActions)
{
  if (aState.role != Role::Leader) {
    aActions.emplace_back(RefuseRead(aEvent.ticket));
    return;
  }
  aState.round = aState.round.Next();
  const auto index = std::max(aState.committed, aState.termStart);
  aState.pendingReads.push_back({ aEvent.ticket, index, aState.round });
  Broadcast(aState, aNow, aActions);
  AnswerReads(aState, aActions);
}

void
AnswerReads(State& aState, Actions& aActions)
{
  std::vector<PendingRead> waiting;
  for (const auto& read : aState.pendingReads) {
    if (!IsConfirmed(aState, read)) {
      waiting.push_back(read);
      continue;
    }
    aActions.emplace_back(LeaderConfirmed{ read.ticket, read.index });
  }
  aState.pendingReads = std::move(waiting);
}

void
RefuseReads(State& aState, Actions& aActions)
{
  for (const auto& read : aState.pendingReads) {
    aActions.emplace_back(RefuseRead(read.ticket));
  }
  aState.pendingReads.clear();
}

} // namespace balsampoint::consensus
