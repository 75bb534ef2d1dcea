#include "balsampoint/placement/command/send_orders.hpp"

#include <algorithm>

namespace balsampoint::placement {

namespace {

void
OrderOne(State& aState,
         const ServiceId& aService,
         const ServerId& aServer,
         LayerRange aLayers,
         Instant aNow,
         Actions& aActions)
{
  const auto found = aState.engines.find(aServer);
  if (found == aState.engines.end()) {
    return;
  }
  auto& tracked = found->second;
  if (tracked.order.has_value() && tracked.order->pending) {
    return;
  }
  const auto& profile = aState.profiles.at(aService);
  const auto load = profile.loadTime * aLayers.Size() /
                    std::max<std::uint32_t>(1, profile.layers);
  tracked.order =
    Order{ .layers = aLayers,
           .sentAt = aNow,
           .effectDue = aNow + load + aState.settings.effectTimeout,
           .pending = true };
  aActions.emplace_back(
    SendOrder{ .server = aServer,
               .incarnation = tracked.claim.stamp.incarnation,
               .address = tracked.claim.description.address,
               .layers = aLayers,
               .expectedOrders = tracked.orders,
               .fencing = aState.fencing,
               .timeout = aState.settings.answerTimeout });
}

} // namespace

void
SendOrders(State& aState,
           const ServiceId& aService,
           const Decision& aDecision,
           Instant aNow,
           Actions& aActions)
{
  for (const auto& [server, layers] : aDecision.fills) {
    OrderOne(aState, aService, server, layers, aNow, aActions);
  }
  for (const auto& [server, layers] : aDecision.moves) {
    OrderOne(aState, aService, server, layers, aNow, aActions);
    aState.lastMoveAt = aNow;
  }
}

} // namespace balsampoint::placement
