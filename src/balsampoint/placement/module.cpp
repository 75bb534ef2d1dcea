#include "balsampoint/placement/module.hpp"

#include "balsampoint/placement/command/send_orders.hpp"
#include "balsampoint/placement/command/track_engines.hpp"
#include "balsampoint/placement/query/decide.hpp"

#include <ranges>

namespace balsampoint::placement {

namespace {

/**
 * @brief Time between two evaluations of the placement while this host
 * leads.
 */
constexpr Duration kPollInterval = std::chrono::milliseconds{ 400 };

void
On(State& aState, const ServersChanged& aEvent, Instant aNow, Actions&)
{
  FollowServers(aState, *aEvent.view, aNow);
}

void
On(State& aState, const Configured& aEvent, Instant, Actions&)
{
  aState.profiles = aEvent.profiles;
}

void
On(State& aState, const Leading& aEvent, Instant aNow, Actions&)
{
  if (!aEvent.leading) {
    aState.leading = false;
    aState.nextPoll = kNever;
    for (auto& tracked : aState.engines | std::views::values) {
      tracked.order.reset();
    }
    return;
  }
  aState.leading = true;
  aState.leadingSince = aNow;
  aState.fencing = aEvent.fencing;
  aState.nextPoll = aNow + kPollInterval;
}

void
On(State& aState, const OrderEnded& aEvent, Instant aNow, Actions& aActions)
{
  ApplyOrderEnd(aState, aEvent, aNow, aActions);
}

void
On(State& aState, const Reported& aEvent, Instant, Actions&)
{
  ApplyReport(aState, aEvent);
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
}

void
Module::Tick(State& aState, Instant aNow, Actions& aActions)
{
  aState.nextPoll = aNow + kPollInterval;
  for (const auto& [service, profile] : aState.profiles) {
    const auto decision = Decide(aState, service, aNow);
    SendOrders(aState, service, decision, aNow, aActions);
  }
}

Instant
Module::NextDeadline(const State& aState)
{
  return aState.nextPoll;
}

} // namespace balsampoint::placement
