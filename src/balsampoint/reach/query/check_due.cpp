#include "balsampoint/reach/query/check_due.hpp"

namespace balsampoint::reach {

namespace {

/** @brief Whether at least a time has passed since an instant, if any. */
bool
HasPassed(Instant aSince, Duration aTime, Instant aNow)
{
  return aSince == Instant::min() || aNow - aSince >= aTime;
}

/** @brief Whether requests wait and no server has sent a byte since, nor has a
 * check shown lately that servers acknowledge what they are sent. */
bool
IsQuiet(const State& aState, Instant aNow)
{
  if (!aState.awaitedSince) {
    return false;
  }
  const auto quietTime = aState.settings.quietTime;
  return HasPassed(*aState.awaitedSince, quietTime, aNow) &&
         HasPassed(aState.heardAt, quietTime, aNow) &&
         HasPassed(aState.checkedAt, quietTime, aNow);
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
  return aState.link == Link::Down || aState.silentServers > 0 ||
         IsQuiet(aState, aNow) ||
         (HasPassed(aState.connectedAt, settings.idleCheckInterval, aNow) &&
          HasPassed(aState.checkedAt, settings.idleCheckInterval, aNow));
}

bool
NeedsAcknowledgements(const State& aState, Instant aNow)
{
  const auto timeout = aState.settings.ackTimeout;
  return aState.awaitedSince &&
         HasPassed(*aState.awaitedSince, timeout, aNow) &&
         HasPassed(aState.heardAt, timeout, aNow);
}

Proof
NeededProof(const State& aState, Instant aNow)
{
  const bool silent = aState.link == Link::Down
                        ? aState.silent
                        : aState.silentServers > 0 || IsQuiet(aState, aNow);
  return silent ? Proof::Acknowledged : Proof::Open;
}

bool
ChecksAllAtOnce(const State& aState)
{
  return aState.silentServers > 1;
}

bool
ReachesServers(const State& aState, Instant aNow)
{
  return aState.link == Link::Up &&
         !HasPassed(aState.connectedAt, aState.settings.proofTime, aNow);
}

} // namespace balsampoint::reach
