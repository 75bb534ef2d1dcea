#include "balsampoint/route/chain.hpp"

namespace balsampoint::route {

bool
Covers(std::span<const Stage> aChain, LayerRange aLayers)
{
  auto next = aLayers.begin;
  for (const auto& stage : aChain) {
    if (stage.layers.begin != next || stage.layers.end <= next) {
      return false;
    }
    next = stage.layers.end;
  }
  return next == aLayers.end;
}

} // namespace balsampoint::route
