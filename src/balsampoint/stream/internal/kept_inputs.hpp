#pragma once

#include "balsampoint/stream/state.hpp"

namespace balsampoint::stream::internal {

/**
 * @brief Records the input of the current stage at the current position, if the
 * stage keeps its inputs.
 * @param aProgress The answer.
 */
void
RecordInput(Progress& aProgress);

/**
 * @brief Drops the inputs of some stages when all exceed the memory limit.
 *
 * Without its inputs, a stage is recovered by replays from the nearest earlier
 * stage that keeps them. The stage with the fewest layers in between is
 * therefore dropped first. The first stage's inputs follow from the text and
 * are never dropped.
 * @param aProgress The answer.
 */
void
TrimInputs(Progress& aProgress);

} // namespace balsampoint::stream::internal
