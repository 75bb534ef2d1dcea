#include "balsampoint/fleet/chain.hpp"

#include <set>

namespace balsampoint::fleet {

bool
RunsEveryLayer(std::span<const Hop> aHops, std::uint32_t aLayers)
{
  std::uint32_t layer = 0;
  std::set<std::string_view> seen;
  for (const auto& hop : aHops) {
    const bool follows =
      hop.layers.begin == layer && hop.layers.end > hop.layers.begin;
    if (!follows || !seen.insert(hop.address).second) {
      return false;
    }
    layer = hop.layers.end;
  }
  return layer == aLayers;
}

} // namespace balsampoint::fleet
