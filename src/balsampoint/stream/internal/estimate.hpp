#pragma once

#include "balsampoint/stream/state.hpp"

#include <cstddef>
#include <span>

namespace balsampoint::stream::internal {

/**
 * @brief Until when a step may take.
 * @param aProgress The answer.
 * @param aStage The stage that runs it.
 * @param aNow Time of the call.
 */
[[nodiscard]] Instant
StepDeadline(const Progress& aProgress, const StageState& aStage, Instant aNow);

/**
 * @brief Until when a replay or an import may take.
 * @param aProgress The answer.
 * @param aStage The stage whose KV is rebuilt.
 * @param aExpected Estimated time of the call.
 * @param aNow Time of the call.
 */
[[nodiscard]] Instant
RebuildDeadline(const Progress& aProgress,
                const StageState& aStage,
                Duration aExpected,
                Instant aNow);

/**
 * @brief Estimated time to replay the past positions of a stage.
 * @param aProgress The answer.
 * @param aStage The stage.
 */
[[nodiscard]] Duration
ReplayTime(const Progress& aProgress, const route::Stage& aStage);

/**
 * @brief Estimated time to copy the KV of the past positions of a stage.
 * @param aProgress The answer.
 * @param aLayers The stage's layers.
 */
[[nodiscard]] Duration
ImportTime(const Progress& aProgress, LayerRange aLayers);

/**
 * @brief Whether importing the KV of a lost stage should beat replaying it.
 * @param aProgress The answer.
 * @param aVacancy The lost stage.
 * @param aChain The replacement.
 */
[[nodiscard]] bool
PrefersImport(const Progress& aProgress,
              const Vacancy& aVacancy,
              std::span<const route::Stage> aChain);

/**
 * @brief Step times to start a replacement with, from those of the lost stage.
 * @param aLost The lost stage.
 * @param aStage The replacement.
 */
[[nodiscard]] StepTimes
InheritedTimes(const StageState& aLost, const route::Stage& aStage);

} // namespace balsampoint::stream::internal
