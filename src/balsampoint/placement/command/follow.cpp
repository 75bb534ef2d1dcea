#include "balsampoint/placement/command/follow.hpp"

#include <set>

namespace balsampoint::placement {

namespace {

void
TakeServer(State& aState, const roster::Server& aServer, Instant aNow)
{
  const auto& claim = aServer.claim;
  auto& known = aState.engines[claim.server];
  if (known.claim.stamp.incarnation != claim.stamp.incarnation) {
    known = {};
    aState.newestAt = aNow;
  }
  known.claim = claim;
  known.ready = aServer.TakesWork();
  if (known.ready) {
    known.lostAt = kNever;
  } else if (known.lostAt == kNever) {
    known.lostAt = aNow;
  }
  if (known.order && claim.description.layers == known.order->layers) {
    known.order.reset();
  }
}

Known*
Find(State& aState, const ServerId& aServer, Incarnation aIncarnation)
{
  const auto found = aState.engines.find(aServer);
  const bool same = found != aState.engines.end() &&
                    found->second.claim.stamp.incarnation == aIncarnation;
  return same ? &found->second : nullptr;
}

} // namespace

void
FollowServers(State& aState, const roster::View& aView, Instant aNow)
{
  std::set<ServerId> seen;
  for (const auto& server : aView.servers) {
    const auto& service = server.claim.description.service;
    if (aState.profiles.contains(service)) {
      TakeServer(aState, server, aNow);
      seen.insert(server.claim.server);
    }
  }
  std::erase_if(aState.engines, [&](const auto& aEntry) {
    return !seen.contains(aEntry.first);
  });
}

void
TakeOrderEnd(State& aState,
             const OrderEnded& aEnded,
             Instant aNow,
             Actions& aActions)
{
  auto* known = Find(aState, aEnded.server, aEnded.incarnation);
  if (known == nullptr || !known->order) {
    return;
  }
  known->order->open = false;
  if (aEnded.outcome == OrderOutcome::Accepted) {
    ++known->orders;
    return;
  }
  if (aEnded.outcome == OrderOutcome::Refused) {
    known->order->effectDue = aNow;
  }
  aActions.emplace_back(AskReport{
    aEnded.server, aEnded.incarnation, known->claim.description.address });
}

void
TakeReport(State& aState, const Reported& aReported)
{
  auto* known = Find(aState, aReported.server, aReported.incarnation);
  if (known == nullptr) {
    return;
  }
  known->orders = aReported.orders;
  if (!aReported.busy && known->order &&
      aReported.layers == known->order->layers) {
    known->claim.description.layers = aReported.layers;
    known->order.reset();
  }
}

} // namespace balsampoint::placement
