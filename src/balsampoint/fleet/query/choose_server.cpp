#include "balsampoint/fleet/query/choose_server.hpp"

#include "balsampoint/fleet/internal/rate_share.hpp"

#include <algorithm>
#include <optional>
#include <string>

namespace balsampoint::fleet {

namespace {

/** Penalties of servers in another zone and of servers that are warming up, in
 * requests in flight. */
constexpr double kOtherZonePenalty = 0.5;
constexpr double kColdPenalty = 2.0;
/** Penalty of a server that fails every request, in requests in flight. */
constexpr double kFailurePenalty = 12.0;

double
Score(const Settings& aSettings, const Server& aServer)
{
  const auto& description = aServer.claim.description;
  return aServer.Sent() + aServer.failureRate * kFailurePenalty +
         (description.zone == aSettings.zone ? 0.0 : kOtherZonePenalty) +
         (description.cold ? kColdPenalty : 0.0);
}

/** @brief Servers of a service that may receive a request; at most one of them
 * has a rate limit. */
std::vector<const Server*>
Candidates(const Group& aGroup,
           const std::set<ServerId>& aFailed,
           const std::set<ServerId>& aReceivers,
           std::uint64_t aRandomSample,
           Instant aNow)
{
  const auto* limited = internal::DrawLimited(aGroup, aRandomSample, aNow);
  std::vector<const Server*> all;
  std::vector<const Server*> healthy;
  for (const auto& entry : aGroup.servers) {
    const Server& server = entry.second;
    const bool mayReceive =
      aReceivers.empty() || aReceivers.contains(entry.first);
    const bool overRate = server.rateLimit.has_value() && &server != limited;
    if (!server.ready || !mayReceive || aFailed.contains(entry.first) ||
        server.BacksOff(aNow) || overRate) {
      continue;
    }
    all.push_back(&server);
    if (!server.Avoided(aNow)) {
      healthy.push_back(&server);
    }
  }
  // If all servers are faulty, use one of them rather than refuse the request.
  return healthy.empty() ? all : healthy;
}

std::string
Obstacle(const Server& aServer, bool aIsCandidate, Instant aNow)
{
  if (aIsCandidate) {
    return {};
  }
  if (!aServer.ready) {
    return "not ready";
  }
  if (aServer.BacksOff(aNow)) {
    return "backing off";
  }
  if (aServer.unreachableUntil > aNow) {
    return "out of reach";
  }
  return aServer.Avoided(aNow) ? "avoided after faults" : "limited";
}

} // namespace

std::vector<Candidate>
DescribeServers(const State& aState,
                const ServiceId& aService,
                std::uint64_t aRandomSample,
                Instant aNow)
{
  const auto group = aState.groups.find(aService);
  if (group == aState.groups.end()) {
    return {};
  }
  const auto usable = Candidates(group->second, {}, {}, aRandomSample, aNow);
  std::vector<Candidate> described;
  described.reserve(group->second.servers.size());
  for (const auto& entry : group->second.servers) {
    const auto& server = entry.second;
    const auto& description = server.claim.description;
    const bool isUsable = std::ranges::find(usable, &server) != usable.end();
    described.push_back(
      { .server = server.claim.server,
        .address = description.address,
        .zone = description.zone,
        .layers = {},
        .cost = isUsable ? std::optional{ Score(aState.settings, server) }
                         : std::nullopt,
        .passing = server.Passing(),
        .failureRate = server.failureRate,
        .excluded = Obstacle(server, isUsable, aNow) });
  }
  return described;
}

tl::expected<Hop, Error>
ChooseServer(const State& aState,
             const ServiceId& aService,
             const std::set<ServerId>& aFailed,
             const std::set<ServerId>& aReceivers,
             std::uint64_t aRandomSample,
             Instant aNow)
{
  const auto group = aState.groups.find(aService);
  if (group == aState.groups.end()) {
    return Refuse(ErrorKind::NoServer, "the service has no servers");
  }
  const auto candidates =
    Candidates(group->second, aFailed, aReceivers, aRandomSample, aNow);
  if (candidates.empty()) {
    return Refuse(ErrorKind::NoServer,
                  "no server of the service takes a request now");
  }
  const auto* best = candidates[aRandomSample % candidates.size()];
  for (std::size_t at = 1; at < candidates.size(); ++at) {
    const auto* server = candidates[(at + aRandomSample) % candidates.size()];
    if (Score(aState.settings, *server) < Score(aState.settings, *best)) {
      best = server;
    }
  }
  return Hop{ .server = best->claim.server,
              .incarnation = best->claim.stamp.incarnation,
              .address = best->claim.description.address };
}

} // namespace balsampoint::fleet
