#include "balsampoint/edge/server_choice.hpp"

#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/query/choose_chain.hpp"
#include "balsampoint/fleet/query/choose_server.hpp"

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
            const routing::EngineProfile& aEngine,
            const RequestParameters& aParameters,
            const std::set<ServerId>& aFailed,
            const std::set<ServerId>& aReceivers)
{
  fleet::Demand demand{ .service = aService.id,
                        .promptTokens = aEngine.meanPromptTokens,
                        .answerTokens = aEngine.meanAnswerTokens,
                        .failed = aFailed,
                        .receivers = aReceivers,
                        .randomSample = aTraffic.random.Next() };
  if (aParameters.tokens) {
    demand.promptTokens = aParameters.tokens->promptTokens;
    demand.answerTokens = aParameters.tokens->expectedAnswerTokens.value_or(
      aEngine.meanAnswerTokens);
  }
  fleet::CountChoice(aTraffic.fleet, aService.id, TrafficState::Now());
  return fleet::ChooseChain(aTraffic.fleet, demand, TrafficState::Now());
}

} // namespace

tl::expected<fleet::Chain, Error>
ChooseServers(TrafficState& aTraffic,
              const routing::Service& aService,
              const RequestParameters& aParameters,
              const ServerRestrictions& aRestrictions)
{
  const auto choose = [&](const std::set<ServerId>& aFailed) {
    return aService.engine
             ? ChooseChain(aTraffic,
                           aService,
                           *aService.engine,
                           aParameters,
                           aFailed,
                           aRestrictions.receivers)
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
  return aService.engine && ChooseChain(aTraffic,
                                        aService,
                                        *aService.engine,
                                        aParameters,
                                        aRestrictions.failed,
                                        aRestrictions.receivers)
                              .has_value();
}

} // namespace balsampoint::edge
