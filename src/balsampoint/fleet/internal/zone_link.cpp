#include "balsampoint/fleet/internal/zone_link.hpp"

#include <chrono>

namespace balsampoint::fleet::internal {

namespace {

constexpr double kBytesPerMegabit = 1e6 / 8;

} // namespace

bool
IsZoneLinkUsedUp(const State& aState,
                 const Group& aGroup,
                 const routing::EngineProfile& aEngine,
                 Instant aNow)
{
  if (aEngine.zoneLinkMbps <= 0.0 || aEngine.activationBytes <= 0.0) {
    return false;
  }
  const std::chrono::duration<double> window = RecentCount::kLongest;
  const auto tokensPerSecond =
    aEngine.zoneLinkMbps * kBytesPerMegabit / aEngine.activationBytes;
  const auto share = aState.settings.zoneLinkPart * tokensPerSecond *
                     window.count() / aState.hosts;
  return aGroup.zoneTokens.Within(RecentCount::kLongest, aNow) >= share;
}

} // namespace balsampoint::fleet::internal
