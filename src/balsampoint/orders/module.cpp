#include "balsampoint/orders/module.hpp"

#include "balsampoint/orders/command/follow_lease.hpp"
#include "balsampoint/orders/command/give.hpp"
#include "balsampoint/orders/query/next_deadline.hpp"

namespace balsampoint::orders {

namespace {

using Actions = std::vector<Action>;

void
On(State& aState, const Candidacy& aEvent, Instant, Actions&)
{
  aState.candidate = aEvent.wanted;
}

void
On(State& aState, const Applied& aEvent, Instant aNow, Actions&)
{
  TakeApplied(aState, aEvent, aNow);
}

void
On(State& aState, const Restored& aEvent, Instant aNow, Actions&)
{
  TakeRestored(aState, aEvent, aNow);
}

void
On(State& aState, const Submitted& aEvent, Instant aNow, Actions& aActions)
{
  Submit(aState, aEvent, aNow, aActions);
}

void
On(State& aState, const Answered& aEvent, Instant, Actions& aActions)
{
  TakeAnswer(aState, aEvent, aActions);
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
  Tick(aState, aNow, aActions);
}

void
Module::Tick(State& aState, Instant aNow, Actions& aActions)
{
  FollowLease(aState, aNow, aActions);
  GiveOrders(aState, aNow, aActions);
}

Instant
Module::NextDeadline(const State& aState)
{
  return orders::NextDeadline(aState);
}

} // namespace balsampoint::orders
