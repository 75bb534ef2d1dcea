#include "balsampoint/retry/module.hpp"

#include "balsampoint/retry/command/choose_server.hpp"
#include "balsampoint/retry/command/track_health.hpp"

#include <algorithm>

namespace balsampoint::retry {

namespace {

using Actions = std::vector<Action>;

void
RefuseAttempt(const AttemptRequested& aRequested,
              std::string_view aDetail,
              Actions& aActions)
{
  constexpr Duration kRetryAfter = std::chrono::seconds{ 1 };
  auto error = MakeError(ErrorKind::NoServer, aDetail);
  error.retryAfter = kRetryAfter;
  aActions.emplace_back(
    AttemptRefused{ .ticket = aRequested.ticket, .error = std::move(error) });
}

void
Grant(State& aState,
      const AttemptRequested& aRequested,
      Instant aNow,
      Actions& aActions)
{
  const auto* server = ChooseServer(aState, aRequested, aNow);
  if (server == nullptr) {
    RefuseAttempt(aRequested, "the service has no usable server", aActions);
    return;
  }
  const auto& announced = server->announcement;
  aActions.emplace_back(AttemptGranted{ .ticket = aRequested.ticket,
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
RandomBackoff(State& aState, std::uint32_t aAttempts)
{
  constexpr std::uint32_t kMaxDoublings = 10;
  const auto doublings = std::min(aAttempts - 1, kMaxDoublings);
  const auto bound =
    std::min(aState.settings.initialBackoff * (std::int64_t{ 1 } << doublings),
             aState.settings.maxBackoff);
  const auto steps = static_cast<std::uint64_t>(bound.count()) + 1;
  return Duration{ static_cast<Duration::rep>(NextRandom(aState) % steps) };
}

void
On(State& aState,
   const AttemptRequested& aEvent,
   Instant aNow,
   Actions& aActions)
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
  const auto backoff = RandomBackoff(aState, aEvent.attempts);
  if (aNow + backoff >= aEvent.deadline) {
    RefuseAttempt(
      aEvent, "the backoff before a retry would exceed the deadline", aActions);
    return;
  }
  budget.tokens -= 1.0;
  aState.inBackoff.emplace(aNow + backoff, aEvent);
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
  while (!aState.inBackoff.empty() && aState.inBackoff.begin()->first <= aNow) {
    const auto requested = aState.inBackoff.extract(aState.inBackoff.begin());
    Grant(aState, requested.mapped(), aNow, aActions);
  }
}

Instant
Module::NextDeadline(const State& aState)
{
  return aState.inBackoff.empty() ? kNever : aState.inBackoff.begin()->first;
}

} // namespace balsampoint::retry
