#include "balsampoint/placement/command/track_engines.hpp"

#include <set>

namespace balsampoint::placement {

namespace {

void
UpdateEngine(State& aState, const roster::Server& aServer, Instant aNow)
{
  const auto& claim = aServer.claim;
  auto& tracked = aState.engines[claim.server];
  if (tracked.claim.stamp.incarnation != claim.stamp.incarnation) {
    tracked = {};
    aState.lastNewEngineAt = aNow;
  }
  tracked.claim = claim;
  tracked.ready = aServer.TakesWork();
  if (tracked.ready) {
    tracked.lostAt = kNever;
  } else if (tracked.lostAt == kNever) {
    tracked.lostAt = aNow;
  }
  if (tracked.order && claim.description.layers == tracked.order->layers) {
    tracked.order.reset();
  }
}

TrackedEngine*
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
      UpdateEngine(aState, server, aNow);
      seen.insert(server.claim.server);
    }
  }
  std::erase_if(aState.engines, [&](const auto& aEntry) {
    return !seen.contains(aEntry.first);
  });
}

void
ApplyOrderEnd(State& aState,
              const OrderEnded& aEnded,
              Instant aNow,
              Actions& aActions)
{
  auto* tracked = Find(aState, aEnded.server, aEnded.incarnation);
  if (tracked == nullptr || !tracked->order) {
    return;
  }
  tracked->order->pending = false;
  if (aEnded.outcome == OrderOutcome::Accepted) {
    ++tracked->orders;
    return;
  }
  if (aEnded.outcome == OrderOutcome::Refused) {
    tracked->order->effectDue = aNow;
  }
  aActions.emplace_back(RequestReport{
    aEnded.server, aEnded.incarnation, tracked->claim.description.address });
}

void
ApplyReport(State& aState, const Reported& aReported)
{
  auto* tracked = Find(aState, aReported.server, aReported.incarnation);
  if (tracked == nullptr) {
    return;
  }
  tracked->orders = aReported.orders;
  if (!aReported.busy && tracked->order &&
      aReported.layers == tracked->order->layers) {
    tracked->claim.description.layers = aReported.layers;
    tracked->order.reset();
  }
}

} // namespace balsampoint::placement
