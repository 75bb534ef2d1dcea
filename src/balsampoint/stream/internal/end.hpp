#pragma once

#include "balsampoint/stream/state.hpp"

#include <vector>

namespace balsampoint::stream::internal {

/**
 * @brief Completes an answer.
 * @param aProgress The answer; it has ended afterwards.
 * @param aReason Why it is complete.
 * @param aNow The time.
 * @param aActions Gets the end and a cancel for each server used.
 */
void
Complete(Progress& aProgress,
         FinishReason aReason,
         Instant aNow,
         std::vector<Action>& aActions);

/**
 * @brief Gives an answer up.
 * @param aProgress The answer; it has ended afterwards.
 * @param aError Why.
 * @param aNow The time.
 * @param aActions Gets the failure and a cancel for each server used.
 */
void
GiveUp(Progress& aProgress,
       Error aError,
       Instant aNow,
       std::vector<Action>& aActions);

} // namespace balsampoint::stream::internal
