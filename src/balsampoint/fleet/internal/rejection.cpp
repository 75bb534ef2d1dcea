#include "balsampoint/fleet/internal/rejection.hpp"

#include <algorithm>
#include <chrono>

namespace balsampoint::fleet::internal {

namespace {

using Seconds = std::chrono::duration<double>;

bool
IsShortage(const Settings& aSettings, const Rejection& aRejection)
{
  return aRejection.fill >= aSettings.shortageFill;
}

} // namespace

double
ChanceAfterRejection(const Settings& aSettings,
                     const Server& aServer,
                     Instant aNow)
{
  // After its own rejections alone, a host avoids the server by itself.
  const auto& rejection = aServer.remoteRejection;
  if (rejection.at == Instant::min() || rejection.at <= aServer.startedAt ||
      IsShortage(aSettings, rejection)) {
    return 1.0;
  }
  const Seconds sinceHold = aNow - rejection.at - aSettings.rejectionHold;
  const Seconds span = aSettings.rejectionMemory - aSettings.rejectionHold;
  const auto part = std::clamp(sinceHold / span, 0.0, 1.0);
  return part * part;
}

double
FillLimit(const Settings& aSettings, const Server& aServer, Instant aNow)
{
  const auto& rejection = aServer.LastRejection();
  if (rejection.at == Instant::min() || !IsShortage(aSettings, rejection)) {
    return aSettings.maxKvFraction;
  }
  const Seconds since = aNow - rejection.at;
  return std::min(aSettings.maxKvFraction,
                  rejection.fill - aSettings.fillMargin +
                    aSettings.fillRecoveryPerSecond * since.count());
}

} // namespace balsampoint::fleet::internal
