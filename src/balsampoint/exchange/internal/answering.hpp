#pragma once

#include "balsampoint/exchange/internal/answer.hpp"
#include "balsampoint/exchange/internal/loss.hpp"

namespace balsampoint::exchange::internal {

/** @brief The caller receives events of the attempt: its servers are chosen, so
 * that only a break, the end of the stream or the caller ends it. A quarantine
 * doesn't, since the answer has begun. */
template<Surroundings S>
struct AnsweringPhase
  : Ignores<Accepted,
            Rejected,
            ServersChosen,
            NoServers,
            QueueTurn,
            QueueRefused,
            Connected,
            RetryTime,
            ResumeTime,
            QuarantineChanged,
            BodyRead>
{
  using Ignored = AnsweringPhase::Ignores;
  using Ignored::operator();

  explicit AnsweringPhase(Context<S>& aContext)
    : context{ aContext }
  {
  }

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
  void operator()(const CallerGone& /*aEvent*/) const { OnCallerGone(context); }

  Context<S>& context;
};

} // namespace balsampoint::exchange::internal
