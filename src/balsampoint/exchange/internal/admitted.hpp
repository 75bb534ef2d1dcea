#pragma once

#include "balsampoint/exchange/internal/next_attempt.hpp"

namespace balsampoint::exchange::internal {

/** @brief A request that has arrived: it is admitted or refused. */
template<Surroundings S>
struct AdmittedPhase
  : Ignores<ServersChosen,
            NoServers,
            QueueTurn,
            QueueRefused,
            Connected,
            ConnectionLost,
            BreakProbed,
            LinkChecked,
            LinkChanged,
            LinkSilenceTime,
            RetryTime,
            ResumeTime,
            DeadlinePassed,
            ServerLost,
            QuarantineChanged,
            AnswerRead,
            EventsRead,
            BodyRead>
{
  using Ignored = AdmittedPhase::Ignores;
  using Ignored::operator();

  explicit AdmittedPhase(Context<S>& aContext)
    : context{ aContext }
  {
  }

  void operator()(const Accepted& aAccepted) const
  {
    auto& state = context.state;
    state.progress.kind = aAccepted.kind;
    state.progress.deadline = aAccepted.deadline;
    state.maxReceivers = aAccepted.maxReceivers;
    context.Act(
      SetTimer{ TimerName::Deadline, aAccepted.deadline - context.now });
    context.Act(CountRequest{});
    StartAttempt(context);
  }
  void operator()(const Rejected& aRejected) const
  {
    EndWithError(context, aRejected.error);
  }
  void operator()(const CallerGone& /*aGone*/) const { OnCallerGone(context); }

  Context<S>& context;
};

} // namespace balsampoint::exchange::internal
