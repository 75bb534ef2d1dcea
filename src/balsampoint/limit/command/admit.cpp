#include "balsampoint/limit/command/admit.hpp"

#include "balsampoint/limit/internal/share.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace balsampoint::limit {

namespace {

using Actions = std::vector<Action>;

void
RefuseWith(Ticket aTicket,
           ErrorKind aKind,
           std::string_view aDetail,
           Duration aRetryAfter,
           Actions& aActions)
{
  auto error = MakeError(aKind, aDetail);
  error.executed = Executed::No;
  error.retryAfter = aRetryAfter;
  aActions.emplace_back(
    Refused{ .ticket = aTicket, .error = std::move(error) });
}

/** Latest admission that lets a request meet its deadline; `kNever` if it has
 * no deadline. */
Instant
LatestStart(const Arrived& aArrived)
{
  return aArrived.deadline == kNever
           ? kNever
           : aArrived.deadline - aArrived.predictedFirstOutput;
}

/** Takes a token from the workspace's token bucket; returns zero, or the wait
 * until the next token if there is none. */
Duration
TakeFromRate(const State& aState, WorkspaceState& aWorkspace, Instant aNow)
{
  if (aWorkspace.rule.requestsPerSecond <= 0.0) {
    return Duration::zero();
  }
  const auto rate =
    aWorkspace.rule.requestsPerSecond / std::max(1U, aState.settings.hosts);
  const std::chrono::duration<double> passed = aNow - aWorkspace.rateCountedAt;
  aWorkspace.rateTokens = std::min(
    std::max(1.0, rate), aWorkspace.rateTokens + (rate * passed.count()));
  aWorkspace.rateCountedAt = aNow;
  if (aWorkspace.rateTokens < 1.0) {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>{ (1.0 - aWorkspace.rateTokens) / rate });
  }
  aWorkspace.rateTokens -= 1.0;
  return Duration::zero();
}

void
RemoveFromWaiting(State& aState, const Arrived& aArrived)
{
  aState.timers.erase({ LatestStart(aArrived), aArrived.ticket });
  aState.waiting.erase(aArrived.ticket);
}

/** Waiting requests of a workspace divided by its weight. */
double
RelativeQueueLength(const WorkspaceState& aWorkspace)
{
  return static_cast<double>(aWorkspace.waiting.size()) /
         aWorkspace.rule.weight;
}

/** Frees a place in the full queue for a request of `aNewcomer`: refuses the
 * newest request of the workspace with the longest queue for its weight, if
 * that stays longer than the newcomer's queue would be. Returns whether it did.
 */
bool
RefuseFromLongestQueue(State& aState,
                       const WorkspaceState& aNewcomer,
                       Actions& aActions)
{
  WorkspaceState* longest = nullptr;
  for (auto& [id, workspace] : aState.workspaces) {
    if (longest == nullptr ||
        RelativeQueueLength(workspace) > RelativeQueueLength(*longest)) {
      longest = &workspace;
    }
  }
  const auto own =
    static_cast<double>(aNewcomer.waiting.size() + 1) / aNewcomer.rule.weight;
  if (longest == nullptr || longest == &aNewcomer ||
      RelativeQueueLength(*longest) <= own) {
    return false;
  }
  const auto newest = longest->waiting.back();
  longest->waiting.pop_back();
  RemoveFromWaiting(aState, newest);
  RefuseWith(newest.ticket,
             ErrorKind::Overloaded,
             "the queue is full and the workspace exceeds its share of it",
             internal::PredictedWait(aState, *longest),
             aActions);
  return true;
}

void
Start(State& aState,
      WorkspaceState& aWorkspace,
      const Arrived& aArrived,
      Instant aNow,
      Actions& aActions)
{
  aWorkspace.virtualTime = std::max(aWorkspace.virtualTime, aState.virtualTime);
  aState.virtualTime = aWorkspace.virtualTime;
  aWorkspace.virtualTime += 1.0 / aWorkspace.rule.weight;
  ++aWorkspace.running;
  aState.kvReserved += aArrived.kvTokens;
  aState.running.emplace(aArrived.ticket,
                         RunningRequest{ .workspace = aArrived.workspace,
                                         .kvTokens = aArrived.kvTokens,
                                         .since = aNow });
  aActions.emplace_back(Admitted{ aArrived.ticket });
}

/** The workspace whose request is admitted next, or null. */
WorkspaceState*
NextWorkspace(State& aState)
{
  using Rank = std::tuple<bool, std::uint32_t, double>;
  WorkspaceState* next = nullptr;
  Rank best;
  for (auto& [id, workspace] : aState.workspaces) {
    if (workspace.waiting.empty() ||
        workspace.running >= internal::ConcurrencyShare(aState, workspace)) {
      continue;
    }
    const bool over =
      workspace.running >= internal::FairSlots(aState, workspace);
    const Rank rank{ over,
                     over ? 0 : workspace.rule.priority,
                     std::max(workspace.virtualTime, aState.virtualTime) };
    if (next == nullptr || rank < best) {
      next = &workspace;
      best = rank;
    }
  }
  return next;
}

bool
RefusedByLimits(State& aState,
                WorkspaceState& aWorkspace,
                const Arrived& aArrived,
                Instant aNow,
                Actions& aActions)
{
  constexpr Duration kRetryAfter = std::chrono::seconds{ 1 };
  if (aWorkspace.rule.concurrentRequests > 0 &&
      aWorkspace.running + aWorkspace.waiting.size() >=
        internal::ConcurrencyShare(aState, aWorkspace)) {
    RefuseWith(aArrived.ticket,
               ErrorKind::RateLimited,
               "the workspace has reached its limit of concurrent requests",
               kRetryAfter,
               aActions);
    return true;
  }
  const auto wait = TakeFromRate(aState, aWorkspace, aNow);
  if (wait > Duration::zero()) {
    RefuseWith(aArrived.ticket,
               ErrorKind::RateLimited,
               "the workspace has reached its limit of requests per second",
               wait,
               aActions);
    return true;
  }
  return false;
}

bool
RefusedByLoad(State& aState,
              const WorkspaceState& aWorkspace,
              const Arrived& aArrived,
              Instant aNow,
              Actions& aActions)
{
  // The estimate is a mean, so the deadline must allow a multiple of it.
  constexpr int kWaitMargin = 2;
  const auto wait = internal::PredictedWait(aState, aWorkspace);
  const auto latest = LatestStart(aArrived);
  if (latest != kNever && aNow + (wait * kWaitMargin) > latest) {
    RefuseWith(aArrived.ticket,
               ErrorKind::Overloaded,
               "the request would not be served before its deadline",
               wait,
               aActions);
    return true;
  }
  if (aWorkspace.waiting.size() >= aState.settings.maxWaitingPerWorkspace ||
      (aState.waiting.size() >= aState.settings.maxWaiting &&
       !RefuseFromLongestQueue(aState, aWorkspace, aActions))) {
    RefuseWith(aArrived.ticket,
               ErrorKind::Overloaded,
               "the queue is full",
               wait,
               aActions);
    return true;
  }
  return false;
}

void
UpdateMeanHoldTime(State& aState, Duration aHeld)
{
  constexpr int kSmoothing = 8;
  aState.meanHoldTime += (aHeld - aState.meanHoldTime) / kSmoothing;
}

} // namespace

void
Arrive(State& aState, const Arrived& aArrived, Instant aNow, Actions& aActions)
{
  auto& workspace = aState.workspaces[aArrived.workspace];
  if (RefusedByLimits(aState, workspace, aArrived, aNow, aActions) ||
      RefusedByLoad(aState, workspace, aArrived, aNow, aActions)) {
    return;
  }
  workspace.waiting.push_back(aArrived);
  aState.waiting.emplace(aArrived.ticket, aArrived.workspace);
  aState.timers.emplace(LatestStart(aArrived), aArrived.ticket);
  AdmitWaiting(aState, aNow, aActions);
}

void
End(State& aState, Ticket aTicket, Instant aNow)
{
  if (const auto running = aState.running.find(aTicket);
      running != aState.running.end()) {
    --aState.workspaces[running->second.workspace].running;
    aState.kvReserved -= running->second.kvTokens;
    UpdateMeanHoldTime(aState, aNow - running->second.since);
    aState.running.erase(running);
    return;
  }
  const auto waits = aState.waiting.find(aTicket);
  if (waits == aState.waiting.end()) {
    return;
  }
  auto& queue = aState.workspaces[waits->second].waiting;
  const auto found = std::ranges::find(queue, aTicket, &Arrived::ticket);
  const auto request = *found;
  queue.erase(found);
  RemoveFromWaiting(aState, request);
}

void
AdmitWaiting(State& aState, Instant aNow, Actions& aActions)
{
  while (aState.running.size() < aState.settings.slots) {
    auto* workspace = NextWorkspace(aState);
    if (workspace == nullptr ||
        !internal::HasFreeKv(aState, workspace->waiting.front().kvTokens)) {
      return;
    }
    const auto request = workspace->waiting.front();
    workspace->waiting.pop_front();
    RemoveFromWaiting(aState, request);
    Start(aState, *workspace, request, aNow, aActions);
  }
}

void
RefuseLate(State& aState, Instant aNow, Actions& aActions)
{
  while (!aState.timers.empty() && aState.timers.begin()->first <= aNow) {
    const auto ticket = aState.timers.begin()->second;
    const auto& workspace = aState.workspaces[aState.waiting.at(ticket)];
    const auto wait = internal::PredictedWait(aState, workspace);
    End(aState, ticket, aNow);
    RefuseWith(ticket,
               ErrorKind::Overloaded,
               "the request can no longer be served before its deadline",
               wait,
               aActions);
  }
}

} // namespace balsampoint::limit
