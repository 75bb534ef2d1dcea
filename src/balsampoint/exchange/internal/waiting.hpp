#pragma once

#include "balsampoint/exchange/internal/loss.hpp"

namespace balsampoint::exchange::internal {

/** @brief A request without an attempt: it waits for the time to send it again,
 * for servers that can continue its stream, or in the queue for capacity. */
template<Surroundings S>
struct WaitingPhase
  : Ignores<Accepted,
            Rejected,
            ServersChosen,
            NoServers,
            Connected,
            ConnectionLost,
            BreakProbed,
            LinkChecked,
            LinkChanged,
            LinkSilenceTime,
            ServerLost,
            AnswerRead,
            EventsRead,
            BodyRead>
{
  using Ignored = WaitingPhase::Ignores;
  using Ignored::operator();

  explicit WaitingPhase(Context<S>& aContext)
    : context{ aContext }
  {
  }

  void operator()(const QueueTurn& /*aTurn*/) const
  {
    if (WaitsFor(WaitReason::Queue)) {
      context.Act(LeaveQueue{ .keepsPlace = true });
      StartAttempt(context);
    }
  }
  void operator()(const QueueRefused& aRefused) const
  {
    if (WaitsFor(WaitReason::Queue)) {
      GiveUp(context, aRefused.error);
    }
  }
  void operator()(const RetryTime& /*aTime*/) const
  {
    if (!WaitsFor(WaitReason::Retry)) {
      return;
    }
    const auto& state = context.state;
    auto decision = forward::Decide(state.progress, state.lastEnd, context.now);
    if (!context.surroundings.MayRepeat() ||
        (forward::NeedsAttempt(decision) && !TakeRetry(context, decision))) {
      decision = forward::GiveUp(state.progress, state.lastEnd);
    }
    ApplyDecision(context, decision, CrashError());
  }
  void operator()(const ResumeTime& /*aTime*/) const
  {
    if (!WaitsFor(WaitReason::Room)) {
      return;
    }
    const bool room =
      context.surroundings.HasRoom({}, AllowedReceivers(context.state));
    if (!room || !TakeRetry(context, forward::Decision::Resume)) {
      FinishAttempts(context, forward::Decision::Abort, {});
      return;
    }
    ApplyDecision(context, forward::Decision::Resume, {});
  }
  void operator()(const DeadlinePassed& /*aPassed*/) const
  {
    OnDeadline(context);
  }
  void operator()(const QuarantineChanged& /*aChanged*/) const
  {
    if (WaitsFor(WaitReason::Queue) && context.surroundings.InQuarantine()) {
      FinishInQuarantine(context, forward::AttemptEnd::NotSent);
    }
  }
  void operator()(const CallerGone& /*aGone*/) const { OnCallerGone(context); }

  Context<S>& context;

private:
  [[nodiscard]] bool WaitsFor(WaitReason aReason) const
  {
    return context.state.waitReason == aReason;
  }
};

} // namespace balsampoint::exchange::internal
