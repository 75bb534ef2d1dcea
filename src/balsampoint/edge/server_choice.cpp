#include "balsampoint/edge/server_choice.hpp"

#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/query/choose_server.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::edge {

namespace {

tl::expected<fleet::Chain, Error>
ChooseSingleServer(TrafficState& aTraffic,
                   const routing::Service& aService,
                   const std::set<ServerId>& aFailed,
                   const std::set<ServerId>& aReceivers)
{
  fleet::CountChoice(aTraffic.fleet, aService.id, TrafficState::Now());
  return fleet::ChooseServer(aTraffic.fleet,
                             aService.id,
                             aFailed,
                             aReceivers,
                             aTraffic.random.Next(),
                             TrafficState::Now())
    .map([](fleet::Hop aHop) {
      return fleet::Chain{ .hops = { std::move(aHop) } };
    });
}

tl::expected<fleet::Chain, Error>
ChooseChain(TrafficState& aTraffic,
            const routing::Service& aService,
            const RequestParameters& aParameters,
            const std::set<ServerId>& aFailed,
            const ServerRestrictions& aRestrictions)
{
  auto demand = MakeDemand(aService, aParameters);
  demand.failed = aFailed;
  demand.receivers = aRestrictions.receivers;
  demand.kvFraction = aRestrictions.kvFraction;
  demand.randomSample = aTraffic.random.Next();
  fleet::CountChoice(aTraffic.fleet, aService.id, TrafficState::Now());
  return fleet::ChooseChain(aTraffic.fleet, demand, TrafficState::Now());
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
ChooseServers(TrafficState& aTraffic,
              const routing::Service& aService,
              const RequestParameters& aParameters,
              const ServerRestrictions& aRestrictions)
{
  const auto choose = [&](const std::set<ServerId>& aFailed) {
    return aService.engine
             ? ChooseChain(
                 aTraffic, aService, aParameters, aFailed, aRestrictions)
             : ChooseSingleServer(
                 aTraffic, aService, aFailed, aRestrictions.receivers);
  };
  auto chosen = choose(aRestrictions.failed);
  return chosen || aRestrictions.failed.empty() ? std::move(chosen)
                                                : choose({});
}

bool
OtherChainHasRoom(TrafficState& aTraffic,
                  const routing::Service& aService,
                  const RequestParameters& aParameters,
                  const ServerRestrictions& aRestrictions)
{
  return aService.engine &&
         ChooseChain(
           aTraffic, aService, aParameters, aRestrictions.failed, aRestrictions)
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
