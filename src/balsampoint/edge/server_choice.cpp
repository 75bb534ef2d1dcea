#include "balsampoint/edge/server_choice.hpp"

#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/query/choose_server.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::edge {

namespace {

fleet::Demand
DemandOf(const routing::Service& aService,
         const RequestParameters& aParameters,
         const ServerRestrictions& aRestrictions,
         std::uint64_t aSample)
{
  auto demand = MakeDemand(aService, aParameters);
  demand.failed = aRestrictions.failed;
  demand.receivers = aRestrictions.receivers;
  demand.kvFraction = aRestrictions.kvFraction;
  demand.randomSample = aSample;
  return demand;
}

/** @brief Counts a choice and makes it. */
tl::expected<fleet::Chain, Error>
CountAndFind(TrafficState& aTraffic,
             const routing::Service& aService,
             const RequestParameters& aParameters,
             const ServerRestrictions& aRestrictions)
{
  const auto sample = aTraffic.random.Next();
  const auto now = TrafficState::Now();
  fleet::CountChoice(aTraffic.fleet, aService.id, now);
  return FindServers(
    aTraffic.fleet, aService, aParameters, aRestrictions, sample, now);
}

} // namespace

fleet::Demand
MakeDemand(const routing::Service& aService,
           const RequestParameters& aParameters)
{
  fleet::Demand demand{ .service = aService.id };
  if (aService.engine) {
    demand.promptTokens = aService.engine->meanPromptTokens;
    demand.answerTokens = aService.engine->meanAnswerTokens;
  }
  if (aParameters.tokens) {
    demand.promptTokens = aParameters.tokens->promptTokens;
    demand.answerTokens =
      aParameters.tokens->expectedAnswerTokens.value_or(demand.answerTokens);
  }
  return demand;
}

tl::expected<fleet::Chain, Error>
FindServers(const fleet::State& aFleet,
            const routing::Service& aService,
            const RequestParameters& aParameters,
            const ServerRestrictions& aRestrictions,
            std::uint64_t aSample,
            Instant aNow)
{
  if (aService.engine) {
    return fleet::ChooseChain(
      aFleet, DemandOf(aService, aParameters, aRestrictions, aSample), aNow);
  }
  return fleet::ChooseServer(aFleet,
                             aService.id,
                             aRestrictions.failed,
                             aRestrictions.receivers,
                             aSample,
                             aNow)
    .map([](fleet::Hop aHop) {
      return fleet::Chain{ .hops = { std::move(aHop) } };
    });
}

std::vector<fleet::Candidate>
DescribeServers(const fleet::State& aFleet,
                const routing::Service& aService,
                const RequestParameters& aParameters,
                const ServerRestrictions& aRestrictions,
                std::uint64_t aSample,
                Instant aNow)
{
  if (!aService.engine) {
    return fleet::DescribeServers(aFleet, aService.id, aSample, aNow);
  }
  return fleet::DescribeEngines(
    aFleet, DemandOf(aService, aParameters, aRestrictions, aSample), aNow);
}

tl::expected<fleet::Chain, Error>
ChooseServers(TrafficState& aTraffic,
              const routing::Service& aService,
              const RequestParameters& aParameters,
              const ServerRestrictions& aRestrictions)
{
  auto chosen = CountAndFind(aTraffic, aService, aParameters, aRestrictions);
  if (chosen || aRestrictions.failed.empty()) {
    return chosen;
  }
  const std::set<ServerId> none;
  return CountAndFind(
    aTraffic,
    aService,
    aParameters,
    { none, aRestrictions.receivers, aRestrictions.kvFraction });
}

bool
OtherChainHasRoom(TrafficState& aTraffic,
                  const routing::Service& aService,
                  const RequestParameters& aParameters,
                  const ServerRestrictions& aRestrictions)
{
  return aService.engine &&
         CountAndFind(aTraffic, aService, aParameters, aRestrictions)
           .has_value();
}

bool
HasRestarted(const TrafficState& aTraffic, const fleet::Hop& aServer)
{
  return aTraffic.servers &&
         std::ranges::any_of(
           aTraffic.servers->servers, [&](const roster::Server& aAnnounced) {
             const auto& claim = aAnnounced.claim;
             return claim.description.address == aServer.address &&
                    claim.stamp.incarnation > aServer.incarnation;
           });
}

} // namespace balsampoint::edge
