#include "balsampoint/member/module.hpp"

#include "balsampoint/member/command/maintain.hpp"
#include "balsampoint/member/command/probe.hpp"
#include "balsampoint/member/command/receive.hpp"
#include "balsampoint/member/internal/gossip.hpp"
#include "balsampoint/member/query/next_deadline.hpp"
#include "balsampoint/member/query/view.hpp"

#include <memory>

namespace balsampoint::member {

namespace {

using Actions = std::vector<Action>;

void
On(State& aState, const Received& aEvent, Instant aNow, Actions& aActions)
{
  Receive(aState, aEvent, aNow, aActions);
}

void
On(State& aState, const Leave&, Instant aNow, Actions& aActions)
{
  LeaveCluster(aState, aNow, aActions);
}

void
PublishIfChanged(State& aState, Actions& aActions)
{
  if (!aState.changed) {
    return;
  }
  aState.changed = false;
  aActions.emplace_back(
    Publish{ .view = std::make_shared<const View>(MakeView(aState)) });
}

} // namespace

void
Module::Handle(State& aState,
               const Event& aEvent,
               Instant aNow,
               Actions& aActions)
{
  std::visit([&](const auto& aOne) { On(aState, aOne, aNow, aActions); },
             aEvent);
  PublishIfChanged(aState, aActions);
}

void
Module::Tick(State& aState, Instant aNow, Actions& aActions)
{
  if (aState.self.state == HostState::Left) {
    return;
  }
  RunProbes(aState, aNow, aActions);
  Maintain(aState, aNow, aActions);
  internal::SendBroadcast(aState, aNow, aActions);
  PublishIfChanged(aState, aActions);
}

Instant
Module::NextDeadline(const State& aState)
{
  return aState.self.state == HostState::Left ? kNever
                                              : member::NextDeadline(aState);
}

} // namespace balsampoint::member
