#include "balsampoint/ledger/module.hpp"

#include "balsampoint/ledger/command/apply.hpp"
#include "balsampoint/ledger/command/forward.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::ledger {

namespace {

using Actions = std::vector<Action>;

void
OnTableTimeChanged(State& aState, Instant aNow)
{
  aState.tableTimeChangedAt = aNow;
  aState.nextTimeStep = aState.leader == aState.settings.self
                          ? aNow + aState.settings.timeStep
                          : kNever;
}

void
On(State& aState,
   const CommandRequested& aEvent,
   Instant aNow,
   Actions& aActions)
{
  Submit(aState,
         { .command = aEvent.command,
           .ticket = aEvent.ticket,
           .until = aEvent.until },
         aNow,
         aActions);
}

void
On(State& aState, const CommandPosted& aEvent, Instant aNow, Actions& aActions)
{
  Submit(aState,
         { .command = aEvent.command,
           .ticket = std::nullopt,
           .until = aNow + aState.settings.detachedCommandTimeout },
         aNow,
         aActions);
}

void
On(State& aState, const Received& aEvent, Instant aNow, Actions& aActions)
{
  Receive(aState, aEvent, aNow, aActions);
}

void
On(State& aState, const Applied& aEvent, Instant aNow, Actions& aActions)
{
  const auto before = aState.table.time;
  const auto outcome = Apply(aState.table, aEvent.command);
  if (aState.table.time != before) {
    OnTableTimeChanged(aState, aNow);
  }
  ReportOutcome(aState, aEvent.ticket, outcome, aActions);
}

void
On(State& aState,
   const ReplicateRefused& aEvent,
   Instant aNow,
   Actions& aActions)
{
  HandleRefused(aState, aEvent.ticket, aNow, aActions);
}

void
On(State& aState, const LeaderChanged& aEvent, Instant aNow, Actions& aActions)
{
  aState.leader = aEvent.leader;
  aState.nextTimeStep = kNever;
  if (aEvent.leader == aState.settings.self) {
    aState.nextTimeStep =
      std::max(aNow, aState.tableTimeChangedAt + aState.settings.timeStep);
  }
  if (!aEvent.leader.Empty()) {
    ResendAll(aState, aNow, aActions);
  }
}

void
On(State& aState, const Restored& aEvent, Instant aNow, Actions& /*aActions*/)
{
  aState.table = aEvent.table;
  OnTableTimeChanged(aState, aNow);
}

void
On(State& aState,
   const SnapshotWanted& aEvent,
   Instant /*aNow*/,
   Actions& aActions)
{
  aActions.emplace_back(
    SnapshotReady{ .index = aEvent.index,
                   .table = std::make_shared<const Table>(aState.table) });
}

void
On(State& aState,
   const MembersChanged& aEvent,
   Instant /*aNow*/,
   Actions& /*aActions*/)
{
  aState.settings.members = aEvent.members;
}

void
StepTime(State& aState, Instant aNow, Actions& aActions)
{
  if (aNow < aState.nextTimeStep) {
    return;
  }
  aState.nextTimeStep = aNow + aState.settings.timeStep;
  aState.lastTicket = aState.lastTicket.Next();
  aActions.emplace_back(
    Replicate{ .ticket = aState.lastTicket,
               .command = TimeStep{ .from = aState.table.time,
                                    .by = aNow - aState.tableTimeChangedAt } });
}

} // namespace

tl::expected<State, Error>
Module::Start(Settings aSettings, const Bounds& aBounds, Instant aNow)
{
  if (aSettings.self.Empty()) {
    return Refuse(ErrorKind::InvalidConfiguration, "the host has no id");
  }
  State state;
  state.settings = std::move(aSettings);
  state.table.bounds = aBounds;
  state.tableTimeChangedAt = aNow;
  return state;
}

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
  HandleTimers(aState, aNow, aActions);
  StepTime(aState, aNow, aActions);
}

Instant
Module::NextDeadline(const State& aState)
{
  const auto due =
    aState.timers.empty() ? kNever : aState.timers.begin()->first;
  return std::min(due, aState.nextTimeStep);
}

} // namespace balsampoint::ledger
