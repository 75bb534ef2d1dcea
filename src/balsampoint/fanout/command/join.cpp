#include "balsampoint/fanout/command/join.hpp"

#include "balsampoint/fanout/command/distribute.hpp"
#include "balsampoint/fanout/command/report.hpp"

#include "balsampoint/fanout/internal/root.hpp"

#include <algorithm>
#include <set>

namespace balsampoint::fanout {

namespace {

bool
IsLive(const State& aState, const DirectoryEntry& aEntry, Instant aNow)
{
  return aEntry.report.reachable &&
         aNow - aEntry.lastReceivedAt <= aState.settings.contactTimeout;
}

/** @brief Number of live hosts that each live relay of a zone serves. */
std::map<HostId, std::size_t>
RelaysOf(const State& aState, const ZoneId& aZone, Instant aNow)
{
  std::map<HostId, std::size_t> relays;
  for (const auto& [host, known] : aState.directory) {
    const auto relay = aState.directory.find(known.relay);
    if (known.report.zone != aZone || !IsLive(aState, known, aNow) ||
        relay == aState.directory.end() ||
        !IsLive(aState, relay->second, aNow)) {
      continue;
    }
    ++relays[known.relay];
  }
  relays.erase(aState.settings.self.host);
  return relays;
}

/**
 * @brief Picks the relay with the fewest hosts for a joining host. A relay is
 * not assigned again to a host that joins again, because the host has lost it.
 * @return The relay, or empty if the host becomes a relay itself.
 */
HostId
ChooseRelay(const State& aState, const HostReport& aHost, Instant aNow)
{
  auto relays = RelaysOf(aState, aHost.zone, aNow);
  const auto old = aState.directory.find(aHost.host);
  if (old != aState.directory.end() &&
      old->second.report.incarnation == aHost.incarnation) {
    relays.erase(old->second.relay);
  }
  relays.erase(aHost.host);
  HostId best;
  auto fewest = aState.settings.hostsPerRelay;
  for (const auto& [relay, hosts] : relays) {
    if (hosts < fewest) {
      best = relay;
      fewest = hosts;
    }
  }
  return best;
}

/** @brief Picks the parent of a joining host and records the host. The leader
 * is the parent of hosts that become relays. A control host that doesn't
 * lead picks itself if it knows no leader, and none otherwise. */
HostId
ChooseParent(State& aState, const HostReport& aHost, Instant aNow)
{
  const auto& self = aState.settings.self.host;
  if (!internal::Leads(aState)) {
    return aState.leader.Empty() ? self : HostId{};
  }
  const auto relay = ChooseRelay(aState, aHost, aNow);
  const auto entry = relay.Empty() ? aHost.host : relay;
  auto& known = aState.directory[aHost.host];
  const bool same = known.report.incarnation == aHost.incarnation;
  const auto reported = same ? known.report.number : ChangeNumber{};
  known = { aHost, entry, aNow };
  known.report.number = std::max(known.report.number, reported);
  return relay.Empty() ? self : relay;
}

/**
 * @brief Records which control hosts have answered. The leader's answer counts
 * for all control hosts. The answer of a host that knows no leader doesn't
 * count, because that host may be behind.
 */
void
RecordAnswer(State& aState, const HostId& aFrom, const JoinReply& aReply)
{
  const auto& seeds = aState.settings.seeds;
  if (aReply.leads) {
    aState.answeredSeeds = { seeds.begin(), seeds.end() };
  } else if (aReply.parent.Empty() &&
             std::ranges::find(seeds, aFrom) != seeds.end()) {
    aState.answeredSeeds.insert(aFrom);
  }
}

/** @brief Whether another host is known to lead the control group. */
bool
KnowsOtherLeader(const State& aState)
{
  return !aState.leader.Empty() && aState.leader != aState.settings.self.host &&
         !internal::Leads(aState);
}

/** @brief Whether to answer a request that another host has forwarded; several
 * hosts may have forwarded the same one. */
bool
AcceptsForwarded(const State& aState, const HostReport& aHost, Instant aNow)
{
  if (!internal::Leads(aState)) {
    return false;
  }
  const auto known = aState.directory.find(aHost.host);
  return known == aState.directory.end() ||
         known->second.report.incarnation != aHost.incarnation ||
         aNow - known->second.lastReceivedAt >= aState.settings.joinInterval;
}

/** @brief Reachable control hosts that are no seeds, and the leader. */
std::set<HostId>
HostsOutsideSeeds(const State& aState)
{
  std::set<HostId> hosts{ aState.controlHosts.begin(),
                          aState.controlHosts.end() };
  if (KnowsOtherLeader(aState)) {
    hosts.insert(aState.leader);
  }
  for (const auto& seed : aState.settings.seeds) {
    hosts.erase(seed);
  }
  return hosts;
}

} // namespace

void
JoinWhenLost(State& aState, Instant aNow, Actions& aActions)
{
  constexpr int kReadyFactor = 8;
  const auto retry = aState.settings.joinInterval;
  aState.nextJoin = aNow + (aState.ready ? retry * kReadyFactor : retry);
  const bool lost =
    internal::ParentIsLost(aState, aNow) || internal::RootIsLost(aState, aNow);
  if (aState.ready && (!lost || internal::Leads(aState))) {
    return;
  }
  auto self = aState.settings.self;
  self.number = aState.inForce;
  for (const auto& seed : aState.settings.seeds) {
    if (seed == self.host) {
      if (!aState.leader.Empty()) {
        aState.answeredSeeds.insert(seed);
      }
      continue;
    }
    aActions.emplace_back(Send{ seed, JoinRequest{ self } });
  }
  for (const auto& host : HostsOutsideSeeds(aState)) {
    aActions.emplace_back(Send{ host, JoinRequest{ self } });
  }
  PublishWhenReady(aState, aNow, aActions);
}

void
HandleJoinRequest(State& aState,
                  const HostId& aFrom,
                  const JoinRequest& aRequest,
                  Instant aNow,
                  Actions& aActions)
{
  const auto& joining = aRequest.host.host;
  if (joining != aFrom && !AcceptsForwarded(aState, aRequest.host, aNow)) {
    return;
  }
  if (joining == aFrom && KnowsOtherLeader(aState) &&
      aState.leader != joining) {
    aActions.emplace_back(Send{ aState.leader, aRequest });
  }
  aActions.emplace_back(Route{ joining, aRequest.host.address });
  JoinReply reply{ .number = aState.newestKnown,
                   .parent = ChooseParent(aState, aRequest.host, aNow),
                   .leads = internal::Leads(aState) };
  const auto known = aState.directory.find(reply.parent);
  if (reply.parent == aState.settings.self.host) {
    reply.parentAddress = aState.settings.self.address;
  } else if (known != aState.directory.end()) {
    reply.parentAddress = known->second.report.address;
    aActions.emplace_back(Route{ reply.parent, reply.parentAddress });
  }
  aActions.emplace_back(Send{ joining, reply });
}

void
HandleJoinReply(State& aState,
                const HostId& aFrom,
                const JoinReply& aReply,
                Instant aNow,
                Actions& aActions)
{
  RecordAnswer(aState, aFrom, aReply);
  aState.newestKnown = std::max(aState.newestKnown, aReply.number);
  if (aReply.number > aState.content.number) {
    aActions.emplace_back(Send{ aFrom, Fetch{ aState.content.number } });
  }
  const bool lost = internal::ParentIsLost(aState, aNow) ||
                    (aReply.leads && internal::RootIsLost(aState, aNow));
  if (lost && !internal::Leads(aState) && !aReply.parent.Empty() &&
      aReply.parent != aState.settings.self.host) {
    aState.parent = aReply.parent;
    aState.lastParentContactAt = aNow;
    if (aReply.leads) {
      aState.lastRootContactAt = aNow;
    }
    aState.nextFullReport = aNow;
    aActions.emplace_back(Route{ aReply.parent, aReply.parentAddress });
    SendReport(aState, aNow, aActions);
  }
  if (!aState.ready) {
    PublishWhenReady(aState, aNow, aActions);
  }
}

void
HandleLeaderChanged(State& aState, const LeaderChanged& aEvent, Instant aNow)
{
  const bool self = aEvent.leader == aState.settings.self.host;
  const bool leads = self && aEvent.caughtUp;
  const auto before = aState.leader;
  aState.leader = self && !leads ? HostId{} : aEvent.leader;
  if (KnowsOtherLeader(aState) && aState.leader != before &&
      aState.settings.joinsTree) {
    // A new leader knows only the hosts that have joined since.
    aState.parent = {};
    aState.nextJoin = aNow;
  }
  if (leads == internal::Leads(aState)) {
    return;
  }
  aState.directory.clear();
  aState.waiters.clear();
  aState.leadingSince = leads ? aNow : kNever;
  aState.parent = {};
}

void
HandleNumberAdvertised(State& aState,
                       const NumberAdvertised& aEvent,
                       Instant aNow)
{
  const auto& settings = aState.settings;
  aState.newestKnown = std::max(aState.newestKnown, aEvent.number);
  if (!settings.joinsTree && !aState.ready) {
    aState.startDeadline =
      std::min(aState.startDeadline, aNow + settings.advertisementWait);
  }
  if (aEvent.number <= aState.content.number ||
      aEvent.number < aState.newer.number) {
    return;
  }
  const bool waiting = aState.newer.fetchAt != kNever;
  if (waiting && aEvent.number == aState.newer.number &&
      aState.newer.sameZone && !aEvent.sameZone) {
    return;
  }
  aState.newer = { .host = aEvent.host,
                   .number = aEvent.number,
                   .fetchAt = waiting ? aState.newer.fetchAt
                                      : aNow + settings.fetchDelay,
                   .sameZone = aEvent.sameZone };
}

void
FetchNewer(State& aState, Actions& aActions)
{
  aState.newer.fetchAt = kNever;
  if (aState.newer.number > aState.content.number) {
    aActions.emplace_back(
      Send{ aState.newer.host, Fetch{ aState.content.number } });
  }
}

} // namespace balsampoint::fanout
