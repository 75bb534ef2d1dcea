#pragma once

#include "balsampoint/stream/state.hpp"

#include <cstddef>
#include <span>

namespace balsampoint::stream::internal {

/**
 * @brief Deadline of a step's reply.
 * @param aProgress The answer.
 * @param aStage The stage that runs it.
 * @param aNow Time of the call.
 */
[[nodiscard]] Instant
StepDeadline(const Progress& aProgress, const StageState& aStage, Instant aNow);

/**
 * @brief Deadline of the reply to a replay or an import.
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
 * @brief Whether importing the KV of a lost stage is estimated to be faster
 * than replaying it.
 * @param aProgress The answer.
 * @param aPending The lost range.
 * @param aChain The servers that replace it.
 */
[[nodiscard]] bool
PrefersImport(const Progress& aProgress,
              const PendingChoice& aPending,
              std::span<const route::Stage> aChain);

/**
 * @brief Initial step times of a replacement, scaled from the lost stage's by
 * layers and speed.
 * @param aLost The lost stage.
 * @param aStage The replacement.
 */
[[nodiscard]] StepTimes
InheritedTimes(const StageState& aLost, const route::Stage& aStage);

} // namespace balsampoint::stream::internal
