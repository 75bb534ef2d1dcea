#include "balsampoint/usage/command/send_sums.hpp"

#include "balsampoint/usage/internal/totals.hpp"

#include <algorithm>
#include <numeric>
#include <span>
#include <utility>
#include <vector>

namespace balsampoint::usage {

namespace {

using internal::Totals;
using SuspectReports = std::vector<quarantine::SuspectReport>;

/** @brief Adds suspects with the time for which they were held here. */
void
AddSuspects(SuspectReports& aReports,
            std::span<const quarantine::SuspectReport> aSuspects,
            Duration aHeldFor)
{
  for (auto report : aSuspects) {
    quarantine::Age(report, aHeldFor);
    aReports.push_back(std::move(report));
  }
}

/** @brief Takes some of the detours out of a list, others each time, so that
 * their users spread over all of them. */
std::vector<reach::Detour>
Rotate(std::vector<reach::Detour> aDetours,
       const Settings& aSettings,
       Instant aNow)
{
  const auto size = aDetours.size();
  if (size <= aSettings.maxDetours) {
    return aDetours;
  }
  const auto turn =
    static_cast<std::uint64_t>(aNow.time_since_epoch() / aSettings.interval);
  const auto first = (turn * aSettings.maxDetours) % size;
  std::ranges::rotate(aDetours,
                      aDetours.begin() + static_cast<std::ptrdiff_t>(first));
  aDetours.resize(aSettings.maxDetours);
  return aDetours;
}

/** @brief Hosts that report to this one and open connections for others. */
std::vector<reach::Detour>
OwnDetours(const State& aState)
{
  std::vector<reach::Detour> detours;
  for (const auto& [host, reported] : aState.reports) {
    if (!reported.use.detour.empty()) {
      detours.push_back({ aState.settings.zone, reported.use.detour });
    }
  }
  return detours;
}

/** @brief Sum of the hosts that report to this one. */
GroupUsage
MakeGroup(const State& aState, Instant aNow)
{
  Totals totals;
  SuspectReports suspects;
  for (const auto& [host, reported] : aState.reports) {
    totals.Add(reported.use.servers, aNow - reported.receivedAt);
    totals.Add(reported.use.services);
    AddSuspects(suspects, reported.use.suspects, aNow - reported.receivedAt);
  }
  return { .zone = aState.settings.zone,
           .hosts = static_cast<std::uint32_t>(aState.reports.size()),
           .servers = totals.Servers(),
           .suspects = quarantine::Join(suspects),
           .services = totals.Services(),
           .detours = Rotate(OwnDetours(aState), aState.settings, aNow) };
}

void
RemoveExpired(State& aState, Instant aNow)
{
  const auto& settings = aState.settings;
  std::erase_if(aState.reports, [&](const auto& aEntry) {
    return aNow - aEntry.second.receivedAt > settings.reportTimeout;
  });
  std::erase_if(aState.groups, [&](const auto& aEntry) {
    return aNow - aEntry.second.receivedAt > settings.groupTimeout;
  });
  if (aNow - aState.far.receivedAt > settings.groupTimeout) {
    // The hosts of other zones still run, most likely.
    aState.far.use.servers.clear();
    aState.far.use.suspects.clear();
    aState.far.use.detours.clear();
  }
}

std::uint32_t
HostsOf(const State& aState, const GroupUsage& aOwn)
{
  return std::accumulate(aState.groups.begin(),
                         aState.groups.end(),
                         aOwn.hosts + aState.far.use.hosts,
                         [](std::uint32_t aSum, const auto& aEntry) {
                           return aSum + aEntry.second.use.hosts;
                         });
}

/** @brief Sends the sum of this host's group to the other relays and to the
 * control host, less often the more hosts there are. */
void
SendGroup(State& aState,
          const GroupUsage& aGroup,
          std::uint32_t aHosts,
          Instant aNow,
          Actions& aActions)
{
  const auto& settings = aState.settings;
  const auto interval =
    settings.interval * (1 + aHosts / settings.hostsPerInterval);
  const bool urgent = !aGroup.suspects.empty();
  if (urgent || aNow >= aState.nextPeers) {
    aState.nextPeers =
      aNow + std::min<Duration>(interval, settings.longestPeerInterval);
    for (const auto& peer : aState.peers) {
      aActions.emplace_back(Send{ peer, aGroup });
    }
  }
  if (!aState.upstream.Empty() && (urgent || aNow >= aState.nextUpstream)) {
    aState.nextUpstream =
      aNow + std::min<Duration>(interval, settings.longestUpstreamInterval);
    aActions.emplace_back(Send{ aState.upstream, aGroup });
  }
}

/** @brief What any host suspects. */
SuspectReports
KnownSuspects(const State& aState, const GroupUsage& aOwn, Instant aNow)
{
  auto suspects = aOwn.suspects;
  AddSuspects(suspects, aState.far.use.suspects, aNow - aState.far.receivedAt);
  for (const auto& [relay, reported] : aState.groups) {
    AddSuspects(suspects, reported.use.suspects, aNow - reported.receivedAt);
  }
  return quarantine::Join(suspects);
}

/** @brief Detours of the own zone, and some of the other zones. */
std::vector<reach::Detour>
KnownDetours(const State& aState, Instant aNow)
{
  auto detours = OwnDetours(aState);
  for (const auto& [relay, reported] : aState.groups) {
    std::ranges::copy(reported.use.detours, std::back_inserter(detours));
  }
  detours = Rotate(std::move(detours), aState.settings, aNow);
  std::ranges::copy(aState.far.use.detours, std::back_inserter(detours));
  return detours;
}

/** @brief Leaves out what servers have said of their rates, and servers of
 * which nothing else is known. */
void
DropRates(std::vector<ServerUsage>& aServers)
{
  std::erase_if(aServers, [](ServerUsage& aUse) {
    aUse.rate.reset();
    return aUse.passing == 0 && aUse.sent == 0 && aUse.recent == 0 &&
           !aUse.rejection;
  });
}

} // namespace

void
SendSums(State& aState, Instant aNow, Actions& aActions)
{
  RemoveExpired(aState, aNow);
  const auto group = MakeGroup(aState, aNow);
  const auto hosts = HostsOf(aState, group);
  SendGroup(aState, group, hosts, aNow, aActions);
  Totals totals;
  totals.Add(group.servers, {});
  totals.Add(group.services);
  totals.Add(aState.far.use.servers, aNow - aState.far.receivedAt);
  totals.Add(aState.far.use.services);
  for (const auto& [relay, reported] : aState.groups) {
    totals.Add(reported.use.servers, aNow - reported.receivedAt);
    totals.Add(reported.use.services);
  }
  const auto suspects = KnownSuspects(aState, group, aNow);
  const auto detours = KnownDetours(aState, aNow);
  const bool withRates = aNow >= aState.nextRates;
  if (withRates) {
    aState.nextRates = aNow + aState.settings.rateInterval;
  }
  for (const auto& [host, reported] : aState.reports) {
    RemoteUsage others{ .servers = totals.Without(reported.use.servers),
                        .hosts = hosts - 1,
                        .suspects = suspects,
                        .services = totals.Without(reported.use.services) };
    if (reported.use.needsDetours) {
      others.detours = detours;
    }
    if (!withRates) {
      DropRates(others.servers);
    }
    if (host == aState.settings.self) {
      aActions.emplace_back(PublishRemote{
        std::make_shared<const RemoteUsage>(std::move(others)) });
      continue;
    }
    aActions.emplace_back(Send{ host, std::move(others) });
  }
}

void
AnswerGroup(State& aState,
            const HostId& aRelay,
            Instant aNow,
            Actions& aActions)
{
  RemoveExpired(aState, aNow);
  const auto& zone = aState.groups.at(aRelay).use.zone;
  Totals totals;
  SuspectReports suspects;
  FarUsage far;
  for (const auto& [relay, reported] : aState.groups) {
    AddSuspects(suspects, reported.use.suspects, aNow - reported.receivedAt);
    if (reported.use.zone == zone) {
      continue;
    }
    totals.Add(reported.use.servers, aNow - reported.receivedAt);
    totals.Add(reported.use.services);
    far.hosts += reported.use.hosts;
    std::ranges::copy(reported.use.detours, std::back_inserter(far.detours));
  }
  far.detours = Rotate(std::move(far.detours), aState.settings, aNow);
  far.servers = totals.Servers();
  far.suspects = quarantine::Join(suspects);
  far.services = totals.Services();
  aActions.emplace_back(Send{ aRelay, std::move(far) });
}

} // namespace balsampoint::usage
