#include "balsampoint/limit/internal/demand.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace balsampoint::limit::internal {

namespace {

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** When a workspace last found servers; long ago if never. */
Instant
LastUse(const ServiceShortage& aService, const WorkspaceId& aWorkspace)
{
  const auto found = aService.lastUse.find(aWorkspace);
  return found == aService.lastUse.end() ? Instant::min() : found->second;
}

} // namespace

double
RateOf(const fleet::RecentCount& aCount, Instant aNow)
{
  // On average, half a part more than the window is counted.
  return aCount.Within(kRateWindow, aNow) /
         Seconds(kRateWindow + fleet::RecentCount::kPart / 2);
}

std::map<Urgency, double>
SumOfDemand(const ServiceShortage& aService, Instant aNow)
{
  std::map<Urgency, double> sum;
  for (const auto urgency : aService.urgencies) {
    sum[urgency] = 0.0;
  }
  for (const auto& [urgency, count] : aService.localDemand) {
    sum[urgency] += RateOf(count, aNow);
  }
  for (const auto& remote : aService.remoteDemand) {
    sum[remote.urgency] += remote.kvPerSecond;
  }
  return sum;
}

std::map<Urgency, UrgencyLevel>
LevelsFor(const ShortageSettings& aSettings,
          const std::map<Urgency, double>& aDemand,
          double aCapacity)
{
  double total = 0.0;
  for (const auto& [urgency, perSecond] : aDemand) {
    total += perSecond;
  }
  std::map<Urgency, UrgencyLevel> levels;
  double moreUrgent = 0.0;
  for (const auto& [urgency, perSecond] : aDemand) {
    const auto fractionOf = [&](double aPerSecond, Duration aTime) {
      return aCapacity > 0.0 ? aPerSecond * Seconds(aTime) / aCapacity : 0.0;
    };
    const auto reserved = fractionOf(moreUrgent, aSettings.horizon);
    const auto unseen = fractionOf(perSecond, aSettings.reportDelay);
    const auto part = total > 0.0 ? moreUrgent / total : 0.0;
    levels[urgency] = {
      .fraction = std::max(aSettings.minLevel, aSettings.maxLevel - reserved),
      .ramp = moreUrgent > 0.0 ? std::min(aSettings.maxRamp, unseen) : 0.0,
      .minShare = aSettings.minShare * part
    };
    moreUrgent += perSecond;
  }
  return levels;
}

double
StartRate(const ServiceShortage& aService, Instant aNow)
{
  return std::max(RateOf(aService.starts, aNow), RateOf(aService.ends, aNow));
}

bool
IsBefore(const ServiceShortage& aService,
         const WaitRequest& aOne,
         const WaitRequest& aOther)
{
  const auto rank = [&](const WaitRequest& aRequest) {
    return std::tuple{ aRequest.urgency,
                       !aRequest.retry,
                       LastUse(aService, aRequest.workspace),
                       aRequest.arrivedAt,
                       aRequest.ticket };
  };
  return rank(aOne) < rank(aOther);
}

bool
Blocks(const ServiceShortage& aService,
       const WaitRequest& aOne,
       const WaitRequest& aOther)
{
  return IsBefore(aService, aOne, aOther) && aOne.tokens <= aOther.tokens &&
         aOne.fraction >= aOther.fraction;
}

std::optional<Duration>
ExpectedWait(const ServiceShortage& aService,
             const WaitRequest& aRequest,
             Instant aNow)
{
  const auto rate = StartRate(aService, aNow);
  if (rate <= 0.0) {
    return std::nullopt;
  }
  const auto before =
    std::ranges::count_if(aService.waiting, [&](const WaitRequest& aWaiting) {
      return IsBefore(aService, aWaiting, aRequest);
    });
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>{ static_cast<double>(before + 1) / rate });
}

bool
IsInTime(const ServiceShortage& aService,
         const WaitRequest& aRequest,
         Instant aNow)
{
  const auto wait = ExpectedWait(aService, aRequest, aNow);
  return wait && aNow + *wait <= aRequest.latest;
}

} // namespace balsampoint::limit::internal
