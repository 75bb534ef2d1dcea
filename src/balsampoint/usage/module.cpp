#include "balsampoint/usage/module.hpp"

#include "balsampoint/usage/command/send_sums.hpp"

namespace balsampoint::usage {

namespace {

void
StoreReport(State& aState, const HostId& aFrom, LocalUsage aUse, Instant aNow)
{
  aState.reports[aFrom] = { std::move(aUse), aNow };
  if (aState.nextSums == kNever) {
    aState.nextSums = aNow + aState.settings.interval;
  }
}

void
On(State& aState, const CollectorChanged& aEvent, Instant, Actions&)
{
  aState.collector = aEvent.host;
}

void
On(State& aState, const Measured& aEvent, Instant aNow, Actions& aActions)
{
  if (aState.collector == aState.settings.self) {
    StoreReport(aState, aState.settings.self, aEvent.use, aNow);
  } else if (!aState.collector.Empty()) {
    aActions.emplace_back(Send{ aState.collector, aEvent.use });
  }
}

void
On(State& aState, const Received& aEvent, Instant aNow, Actions& aActions)
{
  if (const auto* use = std::get_if<LocalUsage>(&aEvent.message)) {
    StoreReport(aState, aEvent.from, *use, aNow);
    return;
  }
  aActions.emplace_back(PublishRemote{ std::make_shared<const RemoteUsage>(
    std::get<RemoteUsage>(aEvent.message)) });
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
  SendSums(aState, aNow, aActions);
  aState.nextSums =
    aState.reports.empty() ? kNever : aNow + aState.settings.interval;
}

Instant
Module::NextDeadline(const State& aState)
{
  return aState.nextSums;
}

} // namespace balsampoint::usage
