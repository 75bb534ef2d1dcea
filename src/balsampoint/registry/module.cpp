#include "balsampoint/registry/module.hpp"

#include "balsampoint/registry/command/announce.hpp"
#include "balsampoint/registry/command/expire.hpp"
#include "balsampoint/registry/command/flush.hpp"
#include "balsampoint/registry/command/observe.hpp"
#include "balsampoint/registry/command/receive.hpp"
#include "balsampoint/registry/command/set_hosts.hpp"
#include "balsampoint/registry/query/next_deadline.hpp"
#include "balsampoint/registry/query/view.hpp"

#include <memory>

namespace balsampoint::registry {

namespace {

using Actions = std::vector<Action>;

void
On(State& aState, const Announced& aEvent, Instant aNow, Actions& aActions)
{
  aActions.emplace_back(
    Answered{ .ticket = aEvent.ticket,
              .result = Announce(aState, aEvent.announcement, aNow) });
}

void
On(State& aState, const Configured& aEvent, Instant, Actions&)
{
  aState.modelLayers = aEvent.modelLayers;
}

void
On(State& aState, const HostsChanged& aEvent, Instant aNow, Actions&)
{
  SetHosts(aState, *aEvent.view, aNow);
}

void
On(State& aState, const Observed& aEvent, Instant aNow, Actions&)
{
  Observe(aState, aEvent.observations, aNow);
}

void
On(State& aState, const Received& aEvent, Instant aNow, Actions& aActions)
{
  Receive(aState, aEvent, aNow, aActions);
}

void
PublishIfDue(State& aState, Instant aNow, Actions& aActions)
{
  if (aState.publishAt > aNow) {
    return;
  }
  aState.publishAt = kNever;
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
  Flush(aState, aNow, aActions);
  PublishIfDue(aState, aNow, aActions);
}

void
Module::Tick(State& aState, Instant aNow, Actions& aActions)
{
  Expire(aState, aNow);
  Flush(aState, aNow, aActions);
  PublishIfDue(aState, aNow, aActions);
}

Instant
Module::NextDeadline(const State& aState)
{
  return registry::NextDeadline(aState);
}

} // namespace balsampoint::registry
