#include "balsampoint/fleet/internal/weighted_server.hpp"

#include "balsampoint/fleet/internal/cost.hpp"
#include "balsampoint/fleet/internal/rejection.hpp"

#include <algorithm>

namespace balsampoint::fleet::internal {

namespace {

/**
 * @brief Cost per event and layer of the delay that the request's own prefill
 * causes to others. The prompts that wait now stand for those that will wait
 * behind it.
 */
double
DelayMsPerLayer(const routing::EngineProfile& aEngine,
                const Server& aServer,
                double aHeldLayers,
                double aReadMs)
{
  const auto waiting = aServer.WaitingPrompt();
  if (waiting <= 0.0) {
    return 0.0;
  }
  const auto typical = std::max(1.0, aEngine.meanPromptTokens);
  return waiting / (typical * aHeldLayers) * aReadMs;
}

} // namespace

double
EventsOf(const routing::EngineProfile& aEngine, const Demand& aDemand)
{
  return std::max(1.0, aDemand.answerTokens / aEngine.tokensPerPass);
}

WeightedServer
WeighServer(const Settings& aSettings,
            const Group& aGroup,
            const routing::EngineProfile& aEngine,
            const Demand& aDemand,
            const Server& aServer,
            double aWeight,
            Instant aNow)
{
  const auto held =
    aServer.claim.description.layers.value_or(LayerRange{}).Size();
  const auto passing = aServer.Passing();
  const auto readMs =
    ReadMs(aEngine, aServer.readFactor, 1, aDemand.promptTokens) /
    EventsOf(aEngine, aDemand);
  const auto limit = aGroup.competing ? FillLimit(aSettings, aServer, aNow)
                                      : aSettings.maxKvFraction;
  const auto room = aServer.kvCapacity * limit;
  // What less urgent requests leave free stays free below a lower limit too.
  const auto reserved =
    aServer.kvCapacity * (aSettings.maxKvFraction - aDemand.kvFraction);
  WeightedServer weighted{
    .server = &aServer,
    .weight = aWeight,
    .waitMs = PassMs(aEngine, aServer.stepFactor, held, passing) / 2,
    .runMsPerLayer =
      PassMs(aEngine, aServer.stepFactor, 1, passing + 1.0) + readMs,
    .kvUsed = aServer.KvUsed(),
    .room = room,
    .ownRoom = std::min(room, room - reserved),
  };
  if (aGroup.competing) {
    weighted.backlogMs = BacklogMs(aEngine, aServer);
    weighted.delayMsPerLayer = DelayMsPerLayer(aEngine, aServer, held, readMs);
  }
  return weighted;
}

double
RunMs(const WeightedServer& aServer, double aTokens, std::uint32_t aLayers)
{
  const auto used = aServer.kvUsed + aTokens * aLayers;
  if (used > aServer.ownRoom) {
    return kUnreachable;
  }
  // The cost grows with the fill level, so that a nearly full server is used
  // last.
  const auto fullness = used / aServer.room;
  return aLayers * aServer.runMsPerLayer * (1.0 + fullness * fullness);
}

} // namespace balsampoint::fleet::internal
