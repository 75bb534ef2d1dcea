#include "balsampoint/fleet/internal/cost.hpp"

#include <algorithm>

namespace balsampoint::fleet::internal {

namespace {

constexpr double kBytesPerMb = 1e6;
constexpr double kThousand = 1000.0;
constexpr double kMillion = 1e6;

double
LayerFraction(const routing::EngineProfile& aEngine, double aLayers)
{
  return aLayers / std::max(1U, aEngine.layers);
}

} // namespace

double
KvCapacity(const routing::EngineProfile& aEngine,
           const roster::Description& aDescription)
{
  const auto kind = aEngine.kinds.find(aDescription.accelerator);
  if (kind == aEngine.kinds.end() || aEngine.kvBytesPerToken <= 0.0) {
    return 0.0;
  }
  const auto held = aDescription.layers ? aDescription.layers->Size() : 0U;
  const auto freeMb = kind->second.memoryMb - held * aEngine.layerMb;
  const auto perTokenLayer = aEngine.kvBytesPerToken / aEngine.layers;
  return std::max(0.0, freeMb * kBytesPerMb / perTokenLayer);
}

double
PassMs(const routing::EngineProfile& aEngine,
       double aStepFactor,
       double aLayers,
       double aWriters)
{
  const auto context =
    (aEngine.meanPromptTokens + aEngine.meanAnswerTokens / 2) / kThousand;
  const auto perWriter =
    aEngine.perWriterMs + aEngine.perThousandContextMs * context;
  return aEngine.tokensPerPass * aStepFactor * LayerFraction(aEngine, aLayers) *
         (aEngine.stepMs + perWriter * aWriters);
}

double
ReadMs(const routing::EngineProfile& aEngine,
       double aReadFactor,
       double aLayers,
       double aTokens)
{
  const auto perMs = aEngine.readTokensPerSecond / kThousand;
  if (perMs <= 0.0) {
    return 0.0;
  }
  const auto pairs = aTokens * aTokens / 2 / kMillion;
  return aReadFactor * LayerFraction(aEngine, aLayers) *
         (aTokens / perMs + pairs * aEngine.perMillionPairsMs);
}

double
BacklogMs(const routing::EngineProfile& aEngine, const Server& aServer)
{
  const auto& layers = aServer.claim.description.layers;
  if (aServer.WaitingPrompt() <= 0.0 || !layers || layers->Size() == 0) {
    return 0.0;
  }
  const double held = layers->Size();
  const auto waiting = aServer.WaitingPrompt() * LayerFraction(aEngine, held);
  const auto typical = std::max(1.0, aEngine.meanPromptTokens);
  const auto perTypical = ReadMs(aEngine, aServer.readFactor, held, typical);
  const auto steps = waiting / held / std::max(1U, aEngine.readChunk);
  const auto step =
    PassMs(aEngine, aServer.stepFactor, held, aServer.Passing()) /
    std::max(1U, aEngine.tokensPerPass);
  return waiting / (held * typical) * perTypical + steps * step;
}

} // namespace balsampoint::fleet::internal
