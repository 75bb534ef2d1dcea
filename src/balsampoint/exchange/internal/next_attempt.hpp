#pragma once

#include "balsampoint/exchange/internal/end.hpp"

#include <string>
#include <string_view>

namespace balsampoint::exchange::internal {

inline constexpr std::string_view kLinkLost =
  "this host has lost its link to the servers";
inline constexpr std::string_view kMayCrashServers =
  "the request may crash another server";

[[nodiscard]] inline Error
CrashError()
{
  return MakeError(ErrorKind::BackendFailed, kMayCrashServers);
}

/** @brief Starts an attempt by the choice of its servers. */
template<Surroundings S>
void
StartAttempt(Context<S>& aContext)
{
  auto& state = aContext.state;
  state.phase = state.progress.answerStarted ? Phase::Resuming : Phase::Attempt;
  state.step = Step::Choosing;
  state.attempt = {};
  aContext.Act(ChooseServers{});
}

/** @brief Releases the servers of the attempt. */
template<Surroundings S>
void
ReleaseAttempt(Context<S>& aContext)
{
  aContext.state.step = Step::None;
  aContext.Act(ReleaseServers{});
}

template<Surroundings S>
[[nodiscard]] bool
TakeRetry(Context<S>& aContext, forward::Decision aDecision)
{
  return aContext.surroundings.TakeRetry(aDecision == forward::Decision::Resume
                                           ? forward::RetryPurpose::Resume
                                           : forward::RetryPurpose::Repeat);
}

/** @brief Starts another attempt or ends the request. */
template<Surroundings S>
void
ApplyDecision(Context<S>& aContext, forward::Decision aDecision, Error aError)
{
  if (aDecision == forward::Decision::Resume) {
    aContext.Act(CountRecovery{});
  }
  if (forward::NeedsAttempt(aDecision)) {
    StartAttempt(aContext);
    return;
  }
  FinishAttempts(aContext, aDecision, std::move(aError));
}

/** @brief Ends the request since no servers can be given it. */
template<Surroundings S>
void
GiveUp(Context<S>& aContext, Error aError)
{
  const auto& progress = aContext.state.progress;
  const auto end = progress.mayHaveRun ? forward::AttemptEnd::Broken
                                       : forward::AttemptEnd::NotSent;
  FinishAttempts(aContext, forward::GiveUp(progress, end), std::move(aError));
}

/** @brief Sends the request again after a while, unless it comes again before
 * or crashes another server, or gives up if there is no time for that. */
template<Surroundings S>
void
RetryLater(Context<S>& aContext, forward::AttemptEnd aEnd)
{
  auto& state = aContext.state;
  const auto delay = aContext.surroundings.RepeatDelay();
  if (aContext.now + delay + forward::kMinAttemptTime >=
      state.progress.deadline) {
    ApplyDecision(
      aContext, forward::GiveUp(state.progress, aEnd), CrashError());
    return;
  }
  Wait(aContext, WaitReason::Retry);
  state.lastEnd = aEnd;
  aContext.Act(SetTimer{ TimerName::Retry, delay });
}

/** @brief Decides what follows an attempt whose servers were released. */
template<Surroundings S>
void
DecideNext(Context<S>& aContext,
           forward::AttemptEnd aEnd,
           std::string_view aReason)
{
  const auto& progress = aContext.state.progress;
  const auto& surroundings = aContext.surroundings;
  auto decision = forward::Decide(progress, aEnd, aContext.now);
  if (decision == forward::Decision::Retry && progress.sent > 0 &&
      !surroundings.MayRetry()) {
    decision = forward::GiveUp(progress, aEnd);
    aReason = kMayCrashServers;
  } else if (decision == forward::Decision::Resume &&
             !surroundings.MayResume()) {
    decision = forward::GiveUp(progress, aEnd);
  } else if (decision == forward::Decision::Retry &&
             aEnd == forward::AttemptEnd::Broken && surroundings.MustWait()) {
    RetryLater(aContext, aEnd);
    return;
  } else if (forward::NeedsAttempt(decision) && progress.sent > 0 &&
             !TakeRetry(aContext, decision)) {
    decision = forward::GiveUp(progress, aEnd);
    aReason = "the budget of retries is used up";
  }
  ApplyDecision(
    aContext, decision, MakeError(ErrorKind::BackendFailed, aReason));
}

/**
 * @brief Ends the attempt in progress without a complete, successful answer.
 * @param aContext The event's context.
 * @param aEnd How it ended.
 * @param aReason Why it failed.
 * @param aAtFault Address of the server at fault; empty if unknown.
 */
template<Surroundings S>
void
EndAttempt(Context<S>& aContext,
           forward::AttemptEnd aEnd,
           std::string_view aReason,
           std::string aAtFault = {})
{
  auto& state = aContext.state;
  const bool notSent = aEnd == forward::AttemptEnd::NotSent;
  state.progress.failedBeforeSend += notSent ? 1 : 0;
  if (notSent || (aEnd == forward::AttemptEnd::Broken && aAtFault.empty())) {
    state.failed.insert(state.attempt.hops.front().server);
  }
  aContext.Act(LogAttempt{ aEnd, aReason, std::move(aAtFault) });
  ReleaseAttempt(aContext);
  DecideNext(aContext, aEnd, aReason);
}

/** @brief The same, after the outcome was recorded for the choice of servers.
 */
template<Surroundings S>
void
EndBroken(Context<S>& aContext, std::string_view aReason)
{
  aContext.Act(RecordOutcome{ fleet::RequestOutcome::Broken });
  EndAttempt(aContext, forward::AttemptEnd::Broken, aReason);
}

} // namespace balsampoint::exchange::internal
