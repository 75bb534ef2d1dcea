#include "balsampoint/orders/module.hpp"

#include "balsampoint/orders/command/send_orders.hpp"
#include "balsampoint/orders/command/update_lease.hpp"
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
  HandleApplied(aState, aEvent, aNow);
}

void
On(State& aState, const Restored& aEvent, Instant aNow, Actions&)
{
  HandleRestored(aState, aEvent, aNow);
}

void
On(State& aState, const Submitted& aEvent, Instant aNow, Actions& aActions)
{
  Submit(aState, aEvent, aNow, aActions);
}

void
On(State& aState, const Answered& aEvent, Instant, Actions& aActions)
{
  HandleAnswer(aState, aEvent, aActions);
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
  UpdateLease(aState, aNow, aActions);
  SendQueuedOrders(aState, aNow, aActions);
}

Instant
Module::NextDeadline(const State& aState)
{
  return orders::NextDeadline(aState);
}

} // namespace balsampoint::orders
