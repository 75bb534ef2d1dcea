#include "balsampoint/edge/server_choice.hpp"

#include "balsampoint/fleet/query/choose_chain.hpp"
#include "balsampoint/fleet/query/choose_server.hpp"

#include <utility>

namespace balsampoint::edge {

namespace {

tl::expected<fleet::Chain, Error>
ChooseOne(Traffic& aTraffic,
          const routing::Service& aService,
          const std::set<ServerId>& aFailed,
          const std::set<ServerId>& aReceivers)
{
  return fleet::ChooseServer(aTraffic.fleet,
                             aService.id,
                             aFailed,
                             aReceivers,
                             aTraffic.random.Next(),
                             Traffic::Now())
    .map([](fleet::Hop aHop) {
      return fleet::Chain{ .hops = { std::move(aHop) } };
    });
}

tl::expected<fleet::Chain, Error>
ChooseChain(Traffic& aTraffic,
            const routing::Service& aService,
            const routing::EngineProfile& aEngine,
            const Inquiry& aInquiry,
            const std::set<ServerId>& aFailed,
            const std::set<ServerId>& aReceivers)
{
  fleet::Demand demand{ .service = aService.id,
                        .promptTokens = aEngine.usualPrompt,
                        .answerTokens = aEngine.usualAnswer,
                        .failed = aFailed,
                        .receivers = aReceivers,
                        .randomSample = aTraffic.random.Next() };
  if (aInquiry.tokens) {
    demand.promptTokens = aInquiry.tokens->prompt;
    demand.answerTokens =
      aInquiry.tokens->expectedAnswer.value_or(aEngine.usualAnswer);
  }
  return fleet::ChooseChain(aTraffic.fleet, demand, Traffic::Now());
}

} // namespace

tl::expected<fleet::Chain, Error>
ChooseServers(Traffic& aTraffic,
              const routing::Service& aService,
              const Inquiry& aInquiry,
              const ServerLimits& aLimits)
{
  const auto choose = [&](const std::set<ServerId>& aFailed) {
    return aService.engine
             ? ChooseChain(aTraffic,
                           aService,
                           *aService.engine,
                           aInquiry,
                           aFailed,
                           aLimits.receivers)
             : ChooseOne(aTraffic, aService, aFailed, aLimits.receivers);
  };
  auto chosen = choose(aLimits.failed);
  return chosen || aLimits.failed.empty() ? std::move(chosen) : choose({});
}

bool
OtherChainHasRoom(Traffic& aTraffic,
                  const routing::Service& aService,
                  const Inquiry& aInquiry,
                  const ServerLimits& aLimits)
{
  return aService.engine && ChooseChain(aTraffic,
                                        aService,
                                        *aService.engine,
                                        aInquiry,
                                        aLimits.failed,
                                        aLimits.receivers)
                              .has_value();
}

} // namespace balsampoint::edge
