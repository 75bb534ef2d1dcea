#include "balsampoint/limit/module.hpp"

#include "balsampoint/limit/command/admit.hpp"

namespace balsampoint::limit {

namespace {

using Actions = std::vector<Action>;

void
On(State& aState, const Arrived& aEvent, Instant aNow, Actions& aActions)
{
  if (aState.meanHoldTime == Duration::zero()) {
    aState.meanHoldTime = aState.settings.initialHoldTime;
  }
  Arrive(aState, aEvent, aNow, aActions);
}

void
On(State& aState, const Ended& aEvent, Instant aNow, Actions& aActions)
{
  End(aState, aEvent.ticket, aNow);
  AdmitWaiting(aState, aNow, aActions);
}

void
On(State& aState, const Configured& aEvent, Instant aNow, Actions& aActions)
{
  for (const auto& [id, rule] : aEvent.workspaces) {
    const auto [found, added] = aState.workspaces.try_emplace(id);
    found->second.rule = rule;
    if (added) {
      found->second.rateCountedAt = aNow;
      found->second.rateTokens = 1.0;
    }
  }
  std::erase_if(aState.workspaces, [&aEvent](const auto& aEach) {
    return !aEvent.workspaces.contains(aEach.first) &&
           aEach.second.running == 0 && aEach.second.waiting.empty();
  });
  AdmitWaiting(aState, aNow, aActions);
}

void
On(State& aState,
   const CapacityChanged& aEvent,
   Instant aNow,
   Actions& aActions)
{
  aState.kvCapacity = aEvent.kvCapacity;
  aState.kvUsed = aEvent.kvUsed;
  AdmitWaiting(aState, aNow, aActions);
}

void
On(State& aState, const HostsChanged& aEvent, Instant aNow, Actions& aActions)
{
  aState.settings.hosts = aEvent.hosts;
  AdmitWaiting(aState, aNow, aActions);
}

} // namespace

void
Module::Handle(State& aState,
               const Event& aEvent,
               Instant aNow,
               std::vector<Action>& aActions)
{
  std::visit([&](const auto& aEach) { On(aState, aEach, aNow, aActions); },
             aEvent);
}

void
Module::Tick(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  RefuseLate(aState, aNow, aActions);
}

Instant
Module::NextDeadline(const State& aState)
{
  return aState.timers.empty() ? kNever : aState.timers.begin()->first;
}

} // namespace balsampoint::limit
