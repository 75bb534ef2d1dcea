#include "balsampoint/fanout/module.hpp"

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/fanout/command/await.hpp"
#include "balsampoint/fanout/command/distribute.hpp"
#include "balsampoint/fanout/command/join.hpp"
#include "balsampoint/fanout/command/report.hpp"
#include "balsampoint/fanout/query/in_force.hpp"
#include "balsampoint/fanout/query/next_deadline.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::fanout {

static_assert(ControlModule<Module>);

namespace {

/** @brief Calls the command for each type of event and message. */
struct Dispatch
{
  State& state;
  Instant now;
  Actions& actions;
  HostId from;

  void operator()(const Received& aEvent)
  {
    from = aEvent.from;
    std::visit(*this, aEvent.message);
  }
  void operator()(const Accepted& aEvent) const
  {
    HandleAccepted(state, aEvent, now, actions);
  }
  void operator()(const LeaderChanged& aEvent) const
  {
    HandleLeaderChanged(state, aEvent, now);
  }
  void operator()(const Published& aEvent) const
  {
    state.inForce = std::max(state.inForce, aEvent.number);
    SendReport(state, now, actions);
    AnswerWaiters(state, now, actions);
  }
  void operator()(const AwaitInForce& aEvent) const
  {
    HandleAwaitInForce(state, aEvent, now, actions);
  }
  void operator()(const NumberAdvertised& aEvent) const
  {
    HandleNumberAdvertised(state, aEvent, now);
  }
  void operator()(const ControlHostsChanged& aEvent) const
  {
    state.controlHosts = aEvent.hosts;
  }
  void operator()(const InForceRequest& aMessage) const
  {
    HandleInForceRequest(state, from, aMessage, now, actions);
  }
  void operator()(const InForceReply& aMessage) const
  {
    actions.emplace_back(InForceKnown{ aMessage.ticket, aMessage.hosts });
  }
  void operator()(const JoinRequest& aMessage) const
  {
    HandleJoinRequest(state, from, aMessage, now, actions);
  }
  void operator()(const JoinReply& aMessage) const
  {
    HandleJoinReply(state, from, aMessage, now, actions);
  }
  void operator()(const Report& aMessage) const
  {
    HandleReport(state, from, aMessage, now, actions);
    AnswerWaiters(state, now, actions);
  }
  void operator()(const Fetch& aMessage) const
  {
    if (aMessage.have < state.content.number) {
      SendMissing(state, from, aMessage.have, now, actions);
    }
  }
  void operator()(const Update& aMessage) const
  {
    HandleUpdate(state, from, aMessage, now, actions);
  }
};

} // namespace

State
Module::Start(Settings aSettings, Instant aNow)
{
  State state{ .settings = std::move(aSettings) };
  state.startDeadline = aNow + state.settings.startTimeout;
  state.nextJoin = state.settings.joinsTree ? aNow : kNever;
  state.nextHeartbeat = aNow;
  return state;
}

void
Module::Handle(State& aState,
               const Event& aEvent,
               Instant aNow,
               Actions& aActions)
{
  std::visit(Dispatch{ aState, aNow, aActions, {} }, aEvent);
}

void
Module::Tick(State& aState, Instant aNow, Actions& aActions)
{
  if (aNow >= aState.startDeadline) {
    aState.startDeadline = kNever;
    aState.answeredSeeds = { aState.settings.seeds.begin(),
                             aState.settings.seeds.end() };
    if (!aState.ready) {
      PublishWhenReady(aState, aNow, aActions);
    }
  }
  if (aNow >= aState.newer.fetchAt) {
    FetchNewer(aState, aActions);
  }
  if (aNow >= aState.nextJoin) {
    JoinWhenLost(aState, aNow, aActions);
  }
  if (aNow >= aState.nextHeartbeat) {
    SendHeartbeats(aState, aNow, aActions);
    AnswerWaiters(aState, aNow, aActions);
    aActions.emplace_back(StatusReady{ DescribeInForce(aState, aNow) });
  }
}

Instant
Module::NextDeadline(const State& aState)
{
  return fanout::NextDeadline(aState);
}

} // namespace balsampoint::fanout
