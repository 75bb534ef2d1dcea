#include "balsampoint/usage/module.hpp"

#include "balsampoint/usage/command/sum_up.hpp"

namespace balsampoint::usage {

namespace {

void
TakeReport(State& aState, const HostId& aFrom, OwnUse aUse, Instant aNow)
{
  aState.reports[aFrom] = { std::move(aUse), aNow };
  if (aState.nextSum == kNever) {
    aState.nextSum = aNow + aState.settings.interval;
  }
}

void
On(State& aState, const CollectorKnown& aEvent, Instant, Actions&)
{
  aState.collector = aEvent.host;
}

void
On(State& aState, const Measured& aEvent, Instant aNow, Actions& aActions)
{
  if (aState.collector == aState.settings.self) {
    TakeReport(aState, aState.settings.self, aEvent.use, aNow);
  } else if (!aState.collector.Empty()) {
    aActions.emplace_back(Send{ aState.collector, aEvent.use });
  }
}

void
On(State& aState, const Received& aEvent, Instant aNow, Actions& aActions)
{
  if (const auto* use = std::get_if<OwnUse>(&aEvent.message)) {
    TakeReport(aState, aEvent.from, *use, aNow);
    return;
  }
  aActions.emplace_back(Tell{
    std::make_shared<const OthersUse>(std::get<OthersUse>(aEvent.message)) });
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
  SumUp(aState, aNow, aActions);
  aState.nextSum =
    aState.reports.empty() ? kNever : aNow + aState.settings.interval;
}

Instant
Module::NextDeadline(const State& aState)
{
  return aState.nextSum;
}

} // namespace balsampoint::usage
