#include "balsampoint/placement/command/place.hpp"

#include <algorithm>

namespace balsampoint::placement {

namespace {

void
GiveOne(State& aState,
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
  auto& known = found->second;
  if (known.order.has_value() && known.order->open) {
    return;
  }
  const auto& profile = aState.profiles.at(aService);
  const auto load = profile.loadTime * aLayers.Size() /
                    std::max<std::uint32_t>(1, profile.layers);
  known.order = Order{ .layers = aLayers,
                       .givenAt = aNow,
                       .effectDue = aNow + load + aState.settings.effectLimit,
                       .open = true };
  aActions.emplace_back(Give{ .server = aServer,
                              .incarnation = known.claim.stamp.incarnation,
                              .address = known.claim.description.address,
                              .layers = aLayers,
                              .expectedOrders = known.orders,
                              .fencing = aState.fencing,
                              .limit = aState.settings.answerLimit });
}

} // namespace

void
GiveOrders(State& aState,
           const ServiceId& aService,
           const Decision& aDecision,
           Instant aNow,
           Actions& aActions)
{
  for (const auto& [server, layers] : aDecision.fills) {
    GiveOne(aState, aService, server, layers, aNow, aActions);
  }
  for (const auto& [server, layers] : aDecision.moves) {
    GiveOne(aState, aService, server, layers, aNow, aActions);
    aState.lastMoveAt = aNow;
  }
}

} // namespace balsampoint::placement
