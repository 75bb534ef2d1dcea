#include "balsampoint/usage/module.hpp"

#include "balsampoint/usage/command/send_sums.hpp"

#include <algorithm>

namespace balsampoint::usage {

namespace {

using Suspects = std::vector<quarantine::SuspectReport>;

/** @brief Brings the next sums forward if a report accuses more suspects, each
 * of which may crash another server meanwhile. */
void
HurryIfNew(State& aState,
           const Suspects& aSuspects,
           const Suspects& aEarlier,
           Instant aNow)
{
  const auto& settings = aState.settings;
  if (aState.nextSums == kNever ||
      aNow - aState.hurriedAt < settings.urgentInterval ||
      !quarantine::AccuseMore(aSuspects, aEarlier)) {
    return;
  }
  aState.hurriedAt = aNow;
  aState.nextSums = std::min(aState.nextSums, aNow + settings.urgentDelay);
}

void
StoreReport(State& aState, const HostId& aFrom, LocalUsage aUse, Instant aNow)
{
  if (aState.nextSums == kNever) {
    aState.nextSums = aNow + aState.settings.interval;
  }
  auto& stored = aState.reports[aFrom];
  HurryIfNew(aState, aUse.suspects, stored.use.suspects, aNow);
  if (aUse.needsDetours && !stored.use.needsDetours) {
    aState.nextSums =
      std::min(aState.nextSums, aNow + aState.settings.urgentDelay);
  }
  stored = { std::move(aUse), aNow };
}

void
On(State& aState, const TopologyChanged& aEvent, Instant, Actions&)
{
  if (aState.collector != aEvent.collector) {
    aState.sent = {};
  }
  aState.collector = aEvent.collector;
  aState.peers = aEvent.peers;
  aState.upstream = aEvent.upstream;
  if (aState.collector != aState.settings.self) {
    aState.reports.clear();
    aState.groups.clear();
  }
}

void
On(State& aState, const Measured& aEvent, Instant aNow, Actions& aActions)
{
  if (aState.collector == aState.settings.self) {
    StoreReport(aState, aState.settings.self, aEvent.use, aNow);
    return;
  }
  const bool isNews =
    aEvent.use != aState.sent.use ||
    aNow - aState.sent.receivedAt >= aState.settings.repeatInterval;
  if (aState.collector.Empty() || !isNews) {
    return;
  }
  aState.sent = { aEvent.use, aNow };
  aActions.emplace_back(Send{ aState.collector, aEvent.use });
}

void
Take(State& aState,
     const HostId& aFrom,
     const LocalUsage& aUse,
     Instant aNow,
     Actions&)
{
  StoreReport(aState, aFrom, aUse, aNow);
}

void
Take(State&, const HostId&, const RemoteUsage& aUse, Instant, Actions& aActions)
{
  aActions.emplace_back(
    PublishRemote{ std::make_shared<const RemoteUsage>(aUse) });
}

void
Take(State& aState,
     const HostId& aFrom,
     const GroupUsage& aUse,
     Instant aNow,
     Actions& aActions)
{
  auto& stored = aState.groups[aFrom];
  HurryIfNew(aState, aUse.suspects, stored.use.suspects, aNow);
  stored = { aUse, aNow };
  if (aState.settings.isControlHost) {
    AnswerGroup(aState, aFrom, aNow, aActions);
  }
}

void
Take(State& aState, const HostId&, const FarUsage& aUse, Instant aNow, Actions&)
{
  HurryIfNew(aState, aUse.suspects, aState.far.use.suspects, aNow);
  aState.far = { aUse, aNow };
}

void
On(State& aState, const Received& aEvent, Instant aNow, Actions& aActions)
{
  std::visit(
    [&](const auto& aUse) { Take(aState, aEvent.from, aUse, aNow, aActions); },
    aEvent.message);
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
