#include "balsampoint/retry/module.hpp"

#include "balsampoint/retry/command/choose_server.hpp"
#include "balsampoint/retry/command/track_health.hpp"

#include <algorithm>

namespace balsampoint::retry {

namespace {

using Actions = std::vector<Action>;

void
RefuseAttempt(const AttemptWanted& aWanted,
              std::string_view aDetail,
              Actions& aActions)
{
  constexpr Duration kRetryAfter = std::chrono::seconds{ 1 };
  auto error = MakeError(ErrorKind::NoServer, aDetail);
  error.retryAfter = kRetryAfter;
  aActions.emplace_back(
    AttemptRefused{ .ticket = aWanted.ticket, .error = std::move(error) });
}

void
Grant(State& aState,
      const AttemptWanted& aWanted,
      Instant aNow,
      Actions& aActions)
{
  const auto* server = ChooseServer(aState, aWanted, aNow);
  if (server == nullptr) {
    RefuseAttempt(aWanted, "the service has no usable server", aActions);
    return;
  }
  const auto& announced = server->announcement;
  aActions.emplace_back(AttemptGranted{ .ticket = aWanted.ticket,
                                        .server = announced.server,
                                        .incarnation = announced.incarnation,
                                        .address = announced.address });
}

Budget&
BudgetOf(State& aState, const WorkspaceId& aWorkspace)
{
  const auto [found, added] = aState.budgets.try_emplace(aWorkspace);
  if (added) {
    found->second.tokens = aState.settings.budgetLimit;
  }
  return found->second;
}

/** Random backoff below a bound that doubles with each attempt. */
Duration
Pause(State& aState, std::uint32_t aAttempts)
{
  constexpr std::uint32_t kMaxDoublings = 10;
  const auto doublings = std::min(aAttempts - 1, kMaxDoublings);
  const auto bound =
    std::min(aState.settings.firstPause * (std::int64_t{ 1 } << doublings),
             aState.settings.longestPause);
  const auto steps = static_cast<std::uint64_t>(bound.count()) + 1;
  return Duration{ static_cast<Duration::rep>(Draw(aState) % steps) };
}

void
On(State& aState, const AttemptWanted& aEvent, Instant aNow, Actions& aActions)
{
  if (aEvent.attempts == 0) {
    Grant(aState, aEvent, aNow, aActions);
    return;
  }
  auto& budget = BudgetOf(aState, aEvent.workspace);
  if (budget.tokens < 1.0) {
    RefuseAttempt(
      aEvent, "the workspace's budget of retries is used up", aActions);
    return;
  }
  const auto pause = Pause(aState, aEvent.attempts);
  if (aNow + pause >= aEvent.deadline) {
    RefuseAttempt(
      aEvent, "the backoff before a retry would exceed the deadline", aActions);
    return;
  }
  budget.tokens -= 1.0;
  aState.paused.emplace(aNow + pause, aEvent);
}

void
On(State& aState,
   const AttemptEnded& aEvent,
   Instant aNow,
   Actions& /*aActions*/)
{
  RecordAttempt(aState, aEvent, aNow);
  if (aEvent.result == AttemptResult::Answered) {
    auto& budget = BudgetOf(aState, aEvent.workspace);
    budget.tokens = std::min(budget.tokens + aState.settings.budgetPerSuccess,
                             aState.settings.budgetLimit);
  }
}

void
On(State& aState,
   const ServersChanged& aEvent,
   Instant aNow,
   Actions& /*aActions*/)
{
  UpdateServers(aState, aEvent, aNow);
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
  while (!aState.paused.empty() && aState.paused.begin()->first <= aNow) {
    const auto wanted = aState.paused.extract(aState.paused.begin());
    Grant(aState, wanted.mapped(), aNow, aActions);
  }
}

Instant
Module::NextDeadline(const State& aState)
{
  return aState.paused.empty() ? kNever : aState.paused.begin()->first;
}

} // namespace balsampoint::retry
