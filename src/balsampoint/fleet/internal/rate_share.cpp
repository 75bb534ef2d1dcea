#include "balsampoint/fleet/internal/rate_share.hpp"

#include "balsampoint/core/split_mix.hpp"

#include <algorithm>
#include <chrono>

namespace balsampoint::fleet::internal {

namespace {

/** Part of a rate that is used; the rest covers demand that isn't known yet. */
constexpr double kUsedPart = 0.9;
/** Requests in the longest window above which a server is sent no more, beside
 * those that its rate allows: several hosts may send one each at a time. */
constexpr double kBurst = 2.0;
/** Length of the time over which demand is measured. */
constexpr Duration kDemandWindow = std::chrono::seconds{ 2 };

/** Least demand, in requests per second: a share has to be finite. */
constexpr double kMinDemand = 1e-3;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** Whether a server has got what its rate allows, from all hosts together. */
bool
IsRateUsedUp(const Server& aServer, double aRate, Instant aNow)
{
  const auto window = RecentCount::kLongest;
  return aServer.sentRecently.Within(window, aNow) + aServer.remoteRecent >=
         aRate * Seconds(window) + kBurst;
}

/** Probability that a request goes to a server with a rate limit. */
double
ShareOf(const Group& aGroup,
        const Server& aServer,
        double aDemand,
        Instant aNow)
{
  // A server without a limit isn't drawn, and so has no share.
  const auto rate = aServer.rateLimit.value_or(0.0);
  if (rate <= 0.0 || !ReceivesRequests(aGroup, aServer) ||
      IsRateUsedUp(aServer, rate, aNow)) {
    return 0.0;
  }
  return kUsedPart * rate / std::max(aDemand, kMinDemand);
}

} // namespace

bool
ReceivesRequests(const Group& aGroup, const Server& aServer)
{
  if (!aServer.ready || !aGroup.engine) {
    return aServer.ready;
  }
  const auto& layers = aServer.claim.description.layers;
  return layers && layers->Holds(0);
}

double
LocalDemandRate(const Group& aGroup, Instant aNow)
{
  // On average, half a part more than the window is counted.
  return aGroup.choices.Within(kDemandWindow, aNow) /
         Seconds(kDemandWindow + RecentCount::kPart / 2);
}

double
DemandRate(const Group& aGroup, Instant aNow)
{
  return LocalDemandRate(aGroup, aNow) + aGroup.remoteDemand;
}

const Server*
DrawLimited(const Group& aGroup, std::uint64_t aRandomSample, Instant aNow)
{
  const auto demand = DemandRate(aGroup, aNow);
  double total = 0.0;
  for (const auto& [id, server] : aGroup.servers) {
    total += ShareOf(aGroup, server, demand, aNow);
  }
  // A sample of its own: the choice among servers uses the same number.
  auto sample = SplitMix64{ ~aRandomSample }.NextUnit() * std::max(1.0, total);
  for (const auto& [id, server] : aGroup.servers) {
    const auto share = ShareOf(aGroup, server, demand, aNow);
    if (sample < share) {
      return &server;
    }
    sample -= share;
  }
  return nullptr;
}

} // namespace balsampoint::fleet::internal
