#pragma once

#include "balsampoint/stream/state.hpp"

namespace balsampoint::stream::internal {

/**
 * @brief Keeps the input of the current stage at the current position, where
 * the stage's inputs are kept.
 * @param aProgress The answer.
 */
void
RecordInput(Progress& aProgress);

/**
 * @brief Drops the inputs of some stages when they take more than allowed.
 *
 * Stages keep their inputs longest where the next one before that keeps them
 * is many layers away, since these would be run again. The first stage's
 * inputs follow from the text and are never dropped.
 * @param aProgress The answer.
 */
void
TrimInputs(Progress& aProgress);

} // namespace balsampoint::stream::internal
