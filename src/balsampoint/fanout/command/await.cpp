#include "balsampoint/fanout/command/await.hpp"

#include "balsampoint/fanout/internal/in_force.hpp"
#include "balsampoint/fanout/internal/root.hpp"

#include <utility>

namespace balsampoint::fanout {

namespace {

std::vector<HostReport>
ReportsOf(const InForce& aInForce)
{
  std::vector<HostReport> reports;
  for (const auto& host : aInForce.hosts) {
    reports.push_back(host.report);
    reports.back().reachable = host.reachable;
  }
  return reports;
}

} // namespace

void
HandleAwaitInForce(State& aState,
                   const AwaitInForce& aEvent,
                   Instant aNow,
                   Actions& aActions)
{
  const InForceRequest request{ aEvent.ticket, aEvent.number, aEvent.wait };
  if (internal::Leads(aState)) {
    HandleInForceRequest(
      aState, aState.settings.self.host, request, aNow, aActions);
    return;
  }
  if (!aState.leader.Empty()) {
    aActions.emplace_back(Send{ aState.leader, request });
  }
}

void
HandleInForceRequest(State& aState,
                     const HostId& aFrom,
                     const InForceRequest& aRequest,
                     Instant aNow,
                     Actions& aActions)
{
  if (!internal::Leads(aState)) {
    return;
  }
  aState.waiters.push_back(
    { aFrom, aRequest.ticket, aRequest.number, aNow + aRequest.wait });
  AnswerWaiters(aState, aNow, aActions);
}

void
AnswerWaiters(State& aState, Instant aNow, Actions& aActions)
{
  if (aState.waiters.empty()) {
    return;
  }
  const auto inForce = internal::Describe(aState, aNow);
  std::vector<InForceWaiter> waiting;
  for (auto& waiter : aState.waiters) {
    if (!inForce.Everywhere(waiter.number) && waiter.deadline > aNow) {
      waiting.push_back(std::move(waiter));
      continue;
    }
    if (waiter.origin == aState.settings.self.host) {
      aActions.emplace_back(InForceKnown{ waiter.ticket, ReportsOf(inForce) });
      continue;
    }
    aActions.emplace_back(
      Send{ waiter.origin, InForceReply{ waiter.ticket, ReportsOf(inForce) } });
  }
  aState.waiters = std::move(waiting);
}

} // namespace balsampoint::fanout
