#include "balsampoint/reach/query/check_due.hpp"

namespace balsampoint::reach {

namespace {

/** @brief Whether at least a time has passed since an instant, if any. */
bool
HasPassed(Instant aSince, Duration aTime, Instant aNow)
{
  return aSince == Instant::min() || aNow - aSince >= aTime;
}

} // namespace

bool
MayCheck(const State& aState, Instant aNow)
{
  return HasPassed(aState.checkedAt, aState.settings.checkInterval, aNow);
}

bool
IsCheckDue(const State& aState, Instant aNow)
{
  if (!MayCheck(aState, aNow)) {
    return false;
  }
  const auto& settings = aState.settings;
  return aState.link == Link::Down ||
         (HasPassed(aState.connectedAt, settings.idleCheckInterval, aNow) &&
          HasPassed(aState.checkedAt, settings.idleCheckInterval, aNow));
}

bool
ReachesServers(const State& aState, Instant aNow)
{
  return aState.link == Link::Up &&
         !HasPassed(aState.connectedAt, aState.settings.proofTime, aNow);
}

} // namespace balsampoint::reach
