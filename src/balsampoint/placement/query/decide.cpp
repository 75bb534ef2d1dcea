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

/** @brief The engines of a service that are there, with what they will hold. */
std::vector<Engine>
PresentEngines(const State& aState, const ServiceId& aService, Instant aNow)
{
  std::vector<Engine> engines;
  const auto& profile = aState.profiles.at(aService);
  for (const auto& [id, known] : aState.engines) {
    const auto& description = known.claim.description;
    const auto kind = profile.kinds.find(description.accelerator);
    const bool expected = known.claim.presence == roster::Presence::Silent &&
                          known.lostAt != kNever &&
                          aNow - known.lostAt < aState.settings.lossPatience;
    if (description.service != aService || kind == profile.kinds.end() ||
        (!known.ready && !expected)) {
      continue;
    }
    auto layers = description.layers;
    if (known.order) {
      layers = known.order->layers;
    }
    if (layers && layers->Size() == 0) {
      layers.reset();
    }
    engines.push_back({ .server = id,
                        .zone = description.zone,
                        .memoryMb = kind->second.memoryMb,
                        .stepFactor = kind->second.stepFactor,
                        .layers = layers });
  }
  return engines;
}

/** @brief Orders that have shown no effect in time, to be given again. */
Plan
Overdue(const State& aState, const ServiceId& aService, Instant aNow)
{
  Plan plan;
  for (const auto& [id, known] : aState.engines) {
    if (known.claim.description.service == aService && known.ready &&
        known.order && !known.order->open && known.order->effectDue <= aNow) {
      plan[id] = known.order->layers;
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
  if (profile.kinds.empty() || profile.layerMb <= 0.0) {
    return {};
  }
  const auto engines = PresentEngines(aState, aService, aNow);
  const auto need = NeedOf(profile);
  const bool blank = std::ranges::none_of(
    engines, [](const Engine& aEngine) { return aEngine.layers.has_value(); });
  if (blank) {
    const bool settled =
      aNow - aState.newestAt >= aState.settings.settle && !engines.empty();
    return settled ? Decision{ .fills = PlanAll(engines, need) } : Decision{};
  }
  Decision decision{ .fills = Overdue(aState, aService, aNow) };
  decision.fills.merge(FillEach(engines, need));
  if (decision.fills.empty() &&
      aNow - aState.lastMoveAt >= aState.settings.movePause) {
    if (const auto move = CloseGap(engines, need)) {
      decision.moves[move->server] = move->layers;
    }
  }
  return decision;
}

} // namespace balsampoint::placement
