#pragma once

#include "balsampoint/stream/state.hpp"

#include <vector>

namespace balsampoint::stream::internal {

/**
 * @brief Completes an answer.
 * @param aProgress The answer; it has ended afterwards.
 * @param aReason Why it is complete.
 * @param aNow Current time.
 * @param aActions `Finish` and a `CancelAt` for each server used are appended
 * here.
 */
void
Complete(Progress& aProgress,
         FinishReason aReason,
         Instant aNow,
         std::vector<Action>& aActions);

/**
 * @brief Ends an answer with an error.
 * @param aProgress The answer; it has ended afterwards.
 * @param aError The reason; reported as not executed only if no call was sent.
 * @param aNow Current time.
 * @param aActions `Fail` and a `CancelAt` for each server used are appended
 * here.
 */
void
GiveUp(Progress& aProgress,
       Error aError,
       Instant aNow,
       std::vector<Action>& aActions);

} // namespace balsampoint::stream::internal
