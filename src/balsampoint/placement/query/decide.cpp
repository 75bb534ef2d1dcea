#include "balsampoint/placement/query/decide.hpp"

#include "balsampoint/placement/query/fill.hpp"
#include "balsampoint/placement/query/plan_all.hpp"

#include <algorithm>

namespace balsampoint::placement {

namespace {

constexpr double kBytesPerMb = 1e6;

ModelSize
SizeOf(const routing::EngineProfile& aProfile)
{
  const auto tokens = aProfile.meanPromptTokens + aProfile.meanAnswerTokens;
  return { .layers = aProfile.layers,
           .layerMb = aProfile.layerMb,
           .requestMb = aProfile.kvBytesPerToken / aProfile.layers * tokens /
                        kBytesPerMb };
}

/**
 * @brief Whether an engine has been silent for so short a time that it may
 * return with its layers.
 */
bool
MayReturn(const TrackedEngine& aEngine, const State& aState, Instant aNow)
{
  return aEngine.claim.presence == roster::Presence::Silent &&
         aEngine.lostAt != kNever &&
         aNow - aEngine.lostAt < aState.settings.lossTimeout;
}

/** @brief Layers that an engine holds or has been ordered to load. */
std::optional<LayerRange>
TargetLayers(const TrackedEngine& aEngine)
{
  const auto layers =
    aEngine.order ? aEngine.order->layers : aEngine.claim.description.layers;
  return layers && layers->Size() > 0 ? layers : std::nullopt;
}

/**
 * @brief Layers that an engine was ordered to load, if the order is overdue.
 */
std::optional<LayerRange>
OverdueLayers(const TrackedEngine& aEngine, Instant aNow)
{
  const auto& order = aEngine.order;
  if (!aEngine.ready || !order || order->pending || order->effectDue > aNow) {
    return std::nullopt;
  }
  return order->layers;
}

/**
 * @brief Engines of a service that are ready or may return, with their
 * current or ordered layers.
 */
std::vector<Engine>
PresentEngines(const State& aState, const ServiceId& aService, Instant aNow)
{
  std::vector<Engine> engines;
  const auto& profile = aState.profiles.at(aService);
  for (const auto& entry : aState.engines) {
    const TrackedEngine& tracked = entry.second;
    const auto& description = tracked.claim.description;
    const auto kind = profile.kinds.find(description.accelerator);
    if (description.service != aService || kind == profile.kinds.end() ||
        (!tracked.ready && !MayReturn(tracked, aState, aNow))) {
      continue;
    }
    engines.push_back({ .server = entry.first,
                        .zone = description.zone,
                        .memoryMb = kind->second.memoryMb,
                        .stepFactor = kind->second.stepFactor,
                        .layers = TargetLayers(tracked) });
  }
  return engines;
}

/** @brief Overdue orders of a service, to be sent again. */
Plan
Overdue(const State& aState, const ServiceId& aService, Instant aNow)
{
  Plan plan;
  for (const auto& entry : aState.engines) {
    const TrackedEngine& tracked = entry.second;
    if (tracked.claim.description.service != aService) {
      continue;
    }
    if (const auto layers = OverdueLayers(tracked, aNow)) {
      plan[entry.first] = *layers;
    }
  }
  return plan;
}

Plan
FillEach(std::vector<Engine> aEngines, const ModelSize& aModel)
{
  Plan plan;
  for (auto& engine : aEngines) {
    if (engine.layers) {
      continue;
    }
    const auto range = FillOne(engine, aEngines, aModel);
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
  const auto settleTime = aState.settings.settleTime;
  if (profile.kinds.empty() || profile.layerMb <= 0.0 ||
      aNow - aState.leadingSince < settleTime) {
    return {};
  }
  const bool settled = aNow - aState.lastNewEngineAt >= settleTime;
  const auto engines = PresentEngines(aState, aService, aNow);
  const auto model = SizeOf(profile);
  const bool noneHeld = std::ranges::none_of(
    engines, [](const Engine& aEngine) { return aEngine.layers.has_value(); });
  if (noneHeld) {
    return settled && !engines.empty()
             ? Decision{ .fills = PlanAll(engines, model) }
             : Decision{};
  }
  Decision decision{ .fills = Overdue(aState, aService, aNow) };
  decision.fills.merge(FillEach(engines, model));
  if (decision.fills.empty() && settled &&
      aNow - aState.lastMoveAt >= aState.settings.minMoveInterval) {
    decision.moves = CloseGaps(engines, model);
  }
  return decision;
}

} // namespace balsampoint::placement
