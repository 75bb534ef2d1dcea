#pragma once

#include "balsampoint/exchange/internal/answer.hpp"
#include "balsampoint/exchange/internal/loss.hpp"

namespace balsampoint::exchange::internal {

/** @brief An attempt that continues a stream after a break: the caller waits,
 * and a refusal is no longer possible. A quarantine doesn't end it. */
template<Surroundings S>
struct ResumingPhase
  : Ignores<Accepted,
            Rejected,
            QueueTurn,
            QueueRefused,
            RetryTime,
            ResumeTime,
            QuarantineChanged>
{
  using Ignored = ResumingPhase::Ignores;
  using Ignored::operator();

  explicit ResumingPhase(Context<S>& aContext)
    : context{ aContext }
  {
  }

  void operator()(const ServersChosen& aEvent) const
  {
    OnServersChosen(context, aEvent);
  }
  void operator()(const NoServers& aEvent) const
  {
    OnNoServers(context, aEvent);
  }
  void operator()(const Connected& /*aEvent*/) const { OnConnected(context); }
  void operator()(const ConnectionLost& aEvent) const
  {
    OnConnectionLost(context, aEvent);
  }
  void operator()(const BreakProbed& aEvent) const
  {
    OnBreakProbed(context, aEvent);
  }
  void operator()(const LinkChecked& aEvent) const
  {
    OnLinkChecked(context, aEvent);
  }
  void operator()(const LinkChanged& aEvent) const
  {
    OnLinkChanged(context, aEvent);
  }
  void operator()(const LinkSilenceTime& aEvent) const
  {
    OnLinkSilence(context, aEvent);
  }
  void operator()(const DeadlinePassed& /*aEvent*/) const
  {
    OnDeadline(context);
  }
  void operator()(const ServerLost& aEvent) const
  {
    OnServerLost(context, aEvent);
  }
  void operator()(const AnswerRead& aEvent) const
  {
    OnAnswerRead(context, aEvent);
  }
  void operator()(const EventsRead& aEvent) const
  {
    OnEventsRead(context, aEvent);
  }
  void operator()(const BodyRead& aEvent) const { OnBodyRead(context, aEvent); }
  void operator()(const CallerGone& /*aEvent*/) const { OnCallerGone(context); }

  Context<S>& context;
};

} // namespace balsampoint::exchange::internal
