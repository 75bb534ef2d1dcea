#include "balsampoint/stream/internal/estimate.hpp"

#include <algorithm>
#include <cmath>

namespace balsampoint::stream::internal {

namespace {

/** A rebuild's deadline allows this multiple of its estimated time. */
constexpr int kEstimateMargin = 4;
/** A server without observed steps is assumed to be this much slower. */
constexpr double kUnobservedFactor = 2.0;
/** K and V of one layer hold one activation each. */
constexpr double kKvActivationsPerLayer = 2.0;

Duration
Seconds(double aSeconds)
{
  using Fraction = std::chrono::duration<double>;
  constexpr double kLimit = 1e6;
  const auto bounded = std::isfinite(aSeconds) ? aSeconds : kLimit;
  return std::chrono::duration_cast<Duration>(
    Fraction{ std::clamp(bounded, 0.0, kLimit) });
}

Instant
DeadlineAfter(const Progress& aProgress,
              const StageState& aStage,
              Duration aTime,
              Instant aNow)
{
  constexpr std::uint32_t kMaxDoublings = 8;
  const auto& settings = aProgress.settings;
  const auto missed =
    aStage.missedDeadlines + static_cast<std::uint32_t>(aProgress.slow.size());
  const auto doublings = std::min(missed, kMaxDoublings);
  const auto timeout =
    std::max(aTime, settings.minStepTime) * (1U << doublings);
  return std::min(aNow + std::min(timeout, settings.maxStepTime),
                  aProgress.request.deadline);
}

} // namespace

Instant
StepDeadline(const Progress& aProgress, const StageState& aStage, Instant aNow)
{
  const auto time = aStage.times.Observed()
                      ? aStage.times.Bound()
                      : aProgress.settings.initialStepTime;
  return DeadlineAfter(aProgress, aStage, time, aNow);
}

Instant
RebuildDeadline(const Progress& aProgress,
                const StageState& aStage,
                Duration aExpected,
                Instant aNow)
{
  auto time = aProgress.settings.initialStepTime;
  if (aStage.times.Observed()) {
    const auto bounded = std::min(aExpected, aProgress.settings.maxStepTime);
    time = bounded * kEstimateMargin + aStage.times.Bound();
  }
  return DeadlineAfter(aProgress, aStage, time, aNow);
}

Duration
ReplayTime(const Progress& aProgress, const route::Stage& aStage)
{
  const auto steps = static_cast<double>(aProgress.step) /
                     aProgress.settings.replayPositionsPerStep;
  return Seconds(steps * aStage.layers.Size() / aStage.layerTokensPerSecond);
}

Duration
ImportTime(const Progress& aProgress, LayerRange aLayers)
{
  const auto bytes =
    kKvActivationsPerLayer *
    static_cast<double>(aProgress.request.pipeline.activationBytes) *
    static_cast<double>(aProgress.step) * aLayers.Size();
  return Seconds(bytes / aProgress.settings.kvBytesPerSecond);
}

bool
PrefersImport(const Progress& aProgress,
              const PendingChoice& aPending,
              std::span<const route::Stage> aChain)
{
  if (!aPending.canImport || aProgress.step == 0) {
    return false;
  }
  Duration replay{};
  for (const auto& stage : aChain) {
    replay += ReplayTime(aProgress, stage);
  }
  auto first = aPending.stage;
  if (!aPending.lost.keepsInputs) {
    while (first > 0 && !aProgress.stages[--first].keepsInputs) {
      replay += ReplayTime(aProgress, aProgress.stages[first].stage);
    }
    replay += ReplayTime(aProgress, aProgress.stages[first].stage);
  }
  const auto sourceDelay = aPending.lost.times.Bound();
  return ImportTime(aProgress, aPending.layers) + sourceDelay < replay;
}

StepTimes
InheritedTimes(const StageState& aLost, const route::Stage& aStage)
{
  StepTimes times;
  if (!aLost.times.Observed()) {
    return times;
  }
  const auto layers =
    static_cast<double>(aStage.layers.Size()) / aLost.stage.layers.Size();
  const auto speed =
    aStage.layerTokensPerSecond > 0
      ? aLost.stage.layerTokensPerSecond / aStage.layerTokensPerSecond
      : 1.0;
  const auto mean = std::chrono::duration<double>{ aLost.times.Mean() };
  const auto factor = kUnobservedFactor * std::max(1.0, layers * speed);
  times.Observe(Seconds(mean.count() * factor));
  return times;
}

} // namespace balsampoint::stream::internal
