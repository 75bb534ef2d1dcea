#include "balsampoint/orders/command/send_orders.hpp"

#include <algorithm>

namespace balsampoint::orders {

namespace {

bool
IsBusy(const State& aState, const ServerId& aServer)
{
  return std::ranges::any_of(aState.open, [&](const auto& aEntry) {
    return aEntry.second.order.server == aServer;
  });
}

bool
CanSend(const State& aState, const OpenOrder& aOrder, Instant aNow)
{
  const bool delayed =
    !aOrder.checksFencing && aState.lease.takeoverDelayEnd > aNow;
  return !delayed && aState.open.size() < aState.settings.maxOpen &&
         !IsBusy(aState, aOrder.order.server);
}

void
ScheduleSend(State& aState, const OpenOrder& aOrder, Instant aNow)
{
  if (!aOrder.checksFencing && aState.lease.takeoverDelayEnd > aNow) {
    aState.sendAt = aState.lease.takeoverDelayEnd;
  }
}

OrderId
MakeId(State& aState)
{
  return OrderId{ aState.settings.self.String() + "-" +
                  std::to_string(aState.lease.fencing.Value()) + "-" +
                  std::to_string(++aState.lastOrderNumber) };
}

void
Send(State& aState,
     OpenOrder aOrder,
     Instant aNow,
     std::vector<Action>& aActions)
{
  aOrder.order.id = MakeId(aState);
  aOrder.order.fencing = aState.lease.fencing;
  aOrder.deadline = aNow + aState.settings.orderLimit;
  aActions.emplace_back(
    SendOrder{ .order = aOrder.order, .limit = aState.settings.orderLimit });
  auto id = aOrder.order.id;
  aState.open.emplace(std::move(id), std::move(aOrder));
}

void
EndOverdue(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  for (auto at = aState.open.begin(); at != aState.open.end();) {
    if (at->second.deadline > aNow) {
      ++at;
      continue;
    }
    aActions.emplace_back(Finished{ .ticket = at->second.ticket,
                                    .id = at->first,
                                    .result = Outcome::Unknown });
    at = aState.open.erase(at);
  }
}

void
RefuseQueued(State& aState, std::vector<Action>& aActions)
{
  for (const auto& order : aState.queued) {
    aActions.emplace_back(
      Finished{ .ticket = order.ticket,
                .result = Refuse(ErrorKind::ControlUnavailable,
                                 "this host no longer holds the lease to "
                                 "send orders") });
  }
  aState.queued.clear();
}

} // namespace

void
Submit(State& aState,
       const Submitted& aSubmitted,
       Instant aNow,
       std::vector<Action>& aActions)
{
  if (!aState.lease.Held() || aState.lease.end <= aNow) {
    aActions.emplace_back(Finished{
      .ticket = aSubmitted.ticket,
      .result = Refuse(ErrorKind::ControlUnavailable,
                       "this host does not hold the lease to send orders") });
    return;
  }
  aState.queued.push_back(
    { .order = { .server = aSubmitted.server, .task = aSubmitted.task },
      .ticket = aSubmitted.ticket,
      .checksFencing = aSubmitted.checksFencing });
}

void
HandleAnswer(State& aState,
             const Answered& aAnswered,
             std::vector<Action>& aActions)
{
  const auto found = aState.open.find(aAnswered.id);
  if (found == aState.open.end() || aAnswered.outcome == Outcome::Unknown) {
    return;
  }
  aActions.emplace_back(Finished{ .ticket = found->second.ticket,
                                  .id = aAnswered.id,
                                  .result = aAnswered.outcome });
  aState.open.erase(found);
}

void
SendQueuedOrders(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  EndOverdue(aState, aNow, aActions);
  if (!aState.lease.Held()) {
    RefuseQueued(aState, aActions);
    return;
  }
  aState.sendAt = kNever;
  if (!aState.candidate || aState.lease.releasing) {
    return;
  }
  for (auto at = aState.queued.begin(); at != aState.queued.end();) {
    if (!CanSend(aState, *at, aNow)) {
      ScheduleSend(aState, *at, aNow);
      ++at;
      continue;
    }
    Send(aState, std::move(*at), aNow, aActions);
    at = aState.queued.erase(at);
  }
}

} // namespace balsampoint::orders
