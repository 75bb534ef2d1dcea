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
  const auto tokens = aProfile.usualPrompt + aProfile.usualAnswer;
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
MayReturn(const Known& aKnown, const State& aState, Instant aNow)
{
  return aKnown.claim.presence == roster::Presence::Silent &&
         aKnown.lostAt != kNever &&
         aNow - aKnown.lostAt < aState.settings.lossPatience;
}

/** @brief Layers that an engine holds or has been ordered to load. */
std::optional<LayerRange>
LayersToBe(const Known& aKnown)
{
  const auto layers =
    aKnown.order ? aKnown.order->layers : aKnown.claim.description.layers;
  return layers && layers->Size() > 0 ? layers : std::nullopt;
}

/**
 * @brief Layers that an engine was ordered to load, if the order is overdue.
 */
std::optional<LayerRange>
OverdueLayers(const Known& aKnown, Instant aNow)
{
  const auto& order = aKnown.order;
  if (!aKnown.ready || !order || order->open || order->effectDue > aNow) {
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

/** @brief Overdue orders of a service, to be sent again. */
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
