#pragma once

#include "balsampoint/exchange/internal/connection.hpp"

#include <algorithm>
#include <string>

namespace balsampoint::exchange::internal {

[[nodiscard]] inline bool
HasConnection(const State& aState)
{
  return aState.step == Step::Connecting || aState.step == Step::Sent;
}

/** @brief Gives up a connection of this host that its lost link has cut: at
 * once while nothing was sent, else if the server stays silent. */
template<Surroundings S>
void
OnLinkChanged(Context<S>& aContext, const LinkChanged& aChanged)
{
  auto& state = aContext.state;
  if (!HasConnection(state) || !aChanged.direct || !aChanged.usesDetours) {
    return;
  }
  if (state.step == Step::Connecting) {
    EndAttempt(aContext, forward::AttemptEnd::NotSent, kLinkLost);
    return;
  }
  if (forward::MayRepeat(state.progress.kind)) {
    state.linkLostAt = aContext.now;
    aContext.Act(SetTimer{ TimerName::LinkSilence, kLinkSilence });
  }
}

template<Surroundings S>
void
OnLinkSilence(Context<S>& aContext, const LinkSilenceTime& aSilence)
{
  auto& state = aContext.state;
  if (!HasConnection(state) || !aSilence.direct ||
      aSilence.lastReadAt >= state.linkLostAt ||
      state.sentAt >= state.linkLostAt) {
    return;
  }
  if (forward::IsStream(state.progress.kind)) {
    EndAttempt(aContext, forward::AttemptEnd::Broken, kLinkLost);
    return;
  }
  // The server may still be at work on it if only new connections fail, so the
  // attempt goes on unless another one is allowed.
  const auto decision =
    forward::Decide(state.progress, forward::AttemptEnd::Broken, aContext.now);
  if (decision != forward::Decision::Retry ||
      !aContext.surroundings.MayRetry() || !TakeRetry(aContext, decision)) {
    return;
  }
  aContext.Act(LogAttempt{ forward::AttemptEnd::Broken, kLinkLost, {} });
  ReleaseAttempt(aContext);
  ApplyDecision(
    aContext, decision, MakeError(ErrorKind::BackendFailed, kLinkLost));
}

/** @brief Whether the request can move to another chain now. */
template<Surroundings S>
[[nodiscard]] bool
MayMove(Context<S>& aContext, forward::Decision aDecision, bool aWaits)
{
  auto& surroundings = aContext.surroundings;
  return forward::NeedsAttempt(aDecision) && surroundings.MayResume() &&
         (aDecision != forward::Decision::Retry || surroundings.MayRetry()) &&
         surroundings.HasRoom(aContext.state.failed,
                              AllowedReceivers(aContext.state)) &&
         (aWaits || TakeRetry(aContext, aDecision));
}

/**
 * @brief Moves the request away from a server that no longer accepts
 * connections. That server may still be running the request, so this happens
 * only if another chain has room.
 */
template<Surroundings S>
void
OnServerLost(Context<S>& aContext, const ServerLost& aLost)
{
  auto& state = aContext.state;
  const auto& hops = state.attempt.hops;
  const auto lost = std::ranges::find_if(hops, [&](const fleet::Hop& aHop) {
    return aHop.server == aLost.server && aHop.layers.end > 0;
  });
  if (state.step != Step::Sent || lost == hops.end()) {
    return;
  }
  if (state.failed.insert(aLost.server).second) {
    aContext.surroundings.RecordBreak(*lost, ServerBreak::Crash);
  }
  const auto decision =
    forward::Decide(state.progress, forward::AttemptEnd::Broken, aContext.now);
  const bool waits =
    decision == forward::Decision::Retry && aContext.surroundings.MustWait();
  if (!MayMove(aContext, decision, waits)) {
    return;
  }
  aContext.Act(LogAttempt{ forward::AttemptEnd::Broken,
                           "a server of the chain is lost",
                           std::string{ aLost.server.Value() } });
  ReleaseAttempt(aContext);
  if (waits) {
    RetryLater(aContext, forward::AttemptEnd::Broken);
    return;
  }
  ApplyDecision(aContext, decision, {});
}

/** @brief Ends the request since it, or its prompt, is in quarantine. */
template<Surroundings S>
void
FinishInQuarantine(Context<S>& aContext, forward::AttemptEnd aEnd)
{
  FinishAttempts(aContext,
                 forward::GiveUp(aContext.state.progress, aEnd),
                 MakeError(ErrorKind::NoServer,
                           "servers crash under the request or its prompt"));
}

/** @brief Cancels the request if it, or its prompt, is in quarantine: the
 * server drops it once the connection is closed. */
template<Surroundings S>
void
OnQuarantineChanged(Context<S>& aContext)
{
  auto& state = aContext.state;
  if (!HasConnection(state) || !aContext.surroundings.InQuarantine()) {
    return;
  }
  const auto end = state.step == Step::Sent ? forward::AttemptEnd::Broken
                                            : forward::AttemptEnd::NotSent;
  ReleaseAttempt(aContext);
  FinishInQuarantine(aContext, end);
}

} // namespace balsampoint::exchange::internal
