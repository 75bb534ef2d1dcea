#pragma once

#include "balsampoint/exchange/internal/context.hpp"

#include <chrono>
#include <string_view>

namespace balsampoint::exchange::internal {

/** Time since the last event during which a broken stream looks for another
 * chain; callers disconnect after 2 s or more without an event. */
inline constexpr Duration kMaxResumeWait = std::chrono::milliseconds{ 1500 };
/** Time between two searches for another chain: half the interval at which
 * hosts report their use of servers to each other. */
inline constexpr Duration kResumeInterval = std::chrono::milliseconds{ 100 };

/** @brief Ends the request after the caller was served or has left. */
template<Surroundings S>
void
End(Context<S>& aContext, std::string_view aOutcome)
{
  auto& state = aContext.state;
  aContext.Act(ClearTimers{});
  if (state.phase == Phase::Waiting && state.waitReason == WaitReason::Queue) {
    aContext.Act(LeaveQueue{});
  }
  aContext.Act(LogEnd{ aOutcome });
  if (state.step != Step::None) {
    aContext.Act(ReleaseServers{});
  }
  aContext.Act(Finish{});
  state.step = Step::None;
  state.phase = Phase::Ended;
}

/** @brief Refuses the request. */
template<Surroundings S>
void
EndWithError(Context<S>& aContext, Error aError, bool aAddRetryAfter = false)
{
  aContext.Act(SendRefusal{ std::move(aError), aAddRetryAfter });
  End(aContext, "refused");
}

/** @brief Cuts an answer that stays incomplete. */
template<Surroundings S>
void
EndWithCut(Context<S>& aContext, std::string_view aOutcome)
{
  aContext.Act(CutAnswer{});
  End(aContext, aOutcome);
}

template<Surroundings S>
void
OnCallerGone(Context<S>& aContext)
{
  aContext.Act(CountCallerGone{});
  End(aContext, "caller_gone");
}

template<Surroundings S>
void
OnDeadline(Context<S>& aContext)
{
  const auto& progress = aContext.state.progress;
  if (progress.answerStarted) {
    EndWithCut(aContext, "cut_at_deadline");
    return;
  }
  EndWithError(aContext,
               MakeError(progress.mayHaveRun ? ErrorKind::DeadlineExceeded
                                             : ErrorKind::NoServer,
                         "no response arrived before the deadline"));
}

/** @brief Waits without an attempt in progress. */
template<Surroundings S>
void
Wait(Context<S>& aContext, WaitReason aReason)
{
  aContext.state.phase = Phase::Waiting;
  aContext.state.step = Step::None;
  aContext.state.waitReason = aReason;
}

/** @brief Whether the caller can be expected to wait for another attempt to
 * resume the stream. */
template<Surroundings S>
[[nodiscard]] bool
MayWaitToResume(const Context<S>& aContext)
{
  const auto& state = aContext.state;
  const auto next = aContext.now + kResumeInterval;
  return state.progress.kind == routing::RequestKind::ResumableStream &&
         aContext.surroundings.MayResume() &&
         next < state.lastEventAt + kMaxResumeWait &&
         next < state.progress.deadline;
}

/** @brief Ends the request without another attempt. A broken resumable stream
 * first waits for a chain with room. */
template<Surroundings S>
void
FinishAttempts(Context<S>& aContext, forward::Decision aDecision, Error aError)
{
  switch (aDecision) {
    case forward::Decision::PassOn:
      aContext.Act(ForwardAnswer{});
      End(aContext, "answered");
      return;
    case forward::Decision::Resume:
    case forward::Decision::Retry:
    case forward::Decision::Refuse:
      aError.kind = ErrorKind::NoServer;
      aError.executed = Executed::No;
      EndWithError(aContext, std::move(aError), true);
      return;
    case forward::Decision::Fail:
      aError.kind = ErrorKind::BackendFailed;
      aError.executed = Executed::Unknown;
      aError.retryAfter = {};
      EndWithError(aContext, std::move(aError));
      return;
    case forward::Decision::Abort:
      if (MayWaitToResume(aContext)) {
        Wait(aContext, WaitReason::Room);
        aContext.Act(SetTimer{ TimerName::Resume, kResumeInterval });
        return;
      }
      EndWithCut(aContext, "cut");
      return;
  }
}

} // namespace balsampoint::exchange::internal
