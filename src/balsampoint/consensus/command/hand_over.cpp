#include "balsampoint/consensus/command/hand_over.hpp"

#include "balsampoint/consensus/command/elect.hpp"
#include "balsampoint/consensus/internal/log.hpp"
#include "balsampoint/consensus/internal/quorum.hpp"

namespace balsampoint::consensus {

namespace {

/** @brief The live voter with the highest matching index; empty if none. */
HostId
Successor(const State& aState, Instant aNow)
{
  HostId best;
  Index bestMatch;
  for (const auto& [host, progress] : aState.progress) {
    if (!internal::IsVoter(aState.members, host) ||
        !internal::HasRecentContact(aState, host, aNow)) {
      continue;
    }
    if (best.Empty() || progress.match > bestMatch) {
      best = host;
      bestMatch = progress.match;
    }
  }
  return best;
}

} // namespace

void
HandleHandOver(State& aState, Instant aNow, Actions& aActions)
{
  if (aState.role != Role::Leader) {
    aActions.emplace_back(HandOverEnded{ true });
    return;
  }
  aState.handOverTo = Successor(aState, aNow);
  if (aState.handOverTo.Empty()) {
    aActions.emplace_back(HandOverEnded{ false });
    return;
  }
  aState.handOverStarted = false;
  aState.handOverDeadline = aNow + aState.settings.handOverTimeout;
  ContinueHandOver(aState, aActions);
}

void
ContinueHandOver(State& aState, Actions& aActions)
{
  if (aState.handOverTo.Empty() || aState.handOverStarted) {
    return;
  }
  const auto found = aState.progress.find(aState.handOverTo);
  if (found == aState.progress.end() ||
      found->second.match != internal::LastIndex(aState.log)) {
    return;
  }
  aState.handOverStarted = true;
  aActions.emplace_back(
    Send{ aState.handOverTo, HandOverRequest{ aState.hard.term } });
}

void
AbandonHandOver(State& aState, Actions& aActions)
{
  aState.handOverTo = {};
  aState.handOverDeadline = kNever;
  aActions.emplace_back(HandOverEnded{ false });
}

void
HandleHandOverRequest(State& aState,
                      const HostId& aFrom,
                      const HandOverRequest& aRequest,
                      Instant aNow,
                      Actions& aActions)
{
  if (aRequest.term != aState.hard.term || aFrom != aState.leader ||
      aState.role != Role::Follower) {
    return;
  }
  StartElection(aState, true, aNow, aActions);
}

} // namespace balsampoint::consensus
