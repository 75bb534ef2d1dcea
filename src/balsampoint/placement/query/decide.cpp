#include "balsampoint/placement/query/decide.hpp"

#include "balsampoint/placement/query/fill.hpp"
#include "balsampoint/placement/query/plan_all.hpp"

#include <algorithm>

namespace balsampoint::placement {

namespace {

constexpr double kBytesPerMb = 1e6;

LayerNeed
NeedOf(const routing::EngineProfile& aProfile)
{
  const auto tokens = aProfile.meanPromptTokens + aProfile.meanAnswerTokens;
  return { .layers = aProfile.layers,
           .layerMb = aProfile.layerMb,
           .requestMb = aProfile.kvBytesPerToken / aProfile.layers * tokens /
                        kBytesPerMb };
}

/** @brief Whether a silent engine may still come back with its layers. */
bool
MayReturn(const Known& aKnown, const State& aState, Instant aNow)
{
  return aKnown.claim.presence == roster::Presence::Silent &&
         aKnown.lostAt != kNever &&
         aNow - aKnown.lostAt < aState.settings.lossPatience;
}

/** @brief The layers an engine holds or has been ordered to hold. */
std::optional<LayerRange>
LayersToBe(const Known& aKnown)
{
  const auto layers =
    aKnown.order ? aKnown.order->layers : aKnown.claim.description.layers;
  return layers && layers->Size() > 0 ? layers : std::nullopt;
}

/** @brief What an engine was ordered to hold and should hold by now. */
std::optional<LayerRange>
OverdueLayers(const Known& aKnown, Instant aNow)
{
  const auto& order = aKnown.order;
  if (!aKnown.ready || !order || order->open || order->effectDue > aNow) {
    return std::nullopt;
  }
  return order->layers;
}

/** @brief The engines of a service that are there, with what they will hold. */
std::vector<Engine>
PresentEngines(const State& aState, const ServiceId& aService, Instant aNow)
{
  std::vector<Engine> engines;
  const auto& profile = aState.profiles.at(aService);
  for (const auto& entry : aState.engines) {
    const Known& known = entry.second;
    const auto& description = known.claim.description;
    const auto kind = profile.kinds.find(description.accelerator);
    if (description.service != aService || kind == profile.kinds.end() ||
        (!known.ready && !MayReturn(known, aState, aNow))) {
      continue;
    }
    engines.push_back({ .server = entry.first,
                        .zone = description.zone,
                        .memoryMb = kind->second.memoryMb,
                        .stepFactor = kind->second.stepFactor,
                        .layers = LayersToBe(known) });
  }
  return engines;
}

/** @brief Orders that have shown no effect in time, to be given again. */
Plan
Overdue(const State& aState, const ServiceId& aService, Instant aNow)
{
  Plan plan;
  for (const auto& entry : aState.engines) {
    const Known& known = entry.second;
    if (known.claim.description.service != aService) {
      continue;
    }
    if (const auto layers = OverdueLayers(known, aNow)) {
      plan[entry.first] = *layers;
    }
  }
  return plan;
}

Plan
FillEach(std::vector<Engine> aEngines, const LayerNeed& aNeed)
{
  Plan plan;
  for (auto& engine : aEngines) {
    if (engine.layers) {
      continue;
    }
    const auto range = FillOne(engine, aEngines, aNeed);
    if (range) {
      plan[engine.server] = *range;
      engine.layers = *range;
    }
  }
  return plan;
}

} // namespace

Decision
Decide(const State& aState, const ServiceId& aService, Instant aNow)
{
  const auto& profile = aState.profiles.at(aService);
  const auto settle = aState.settings.settle;
  if (profile.kinds.empty() || profile.layerMb <= 0.0 ||
      aNow - aState.leadingSince < settle) {
    return {};
  }
  const bool settled = aNow - aState.newestAt >= settle;
  const auto engines = PresentEngines(aState, aService, aNow);
  const auto need = NeedOf(profile);
  const bool blank = std::ranges::none_of(
    engines, [](const Engine& aEngine) { return aEngine.layers.has_value(); });
  if (blank) {
    return settled && !engines.empty()
             ? Decision{ .fills = PlanAll(engines, need) }
             : Decision{};
  }
  Decision decision{ .fills = Overdue(aState, aService, aNow) };
  decision.fills.merge(FillEach(engines, need));
  if (decision.fills.empty() && settled &&
      aNow - aState.lastMoveAt >= aState.settings.movePause) {
    decision.moves = CloseGaps(engines, need);
  }
  return decision;
}

} // namespace balsampoint::placement
