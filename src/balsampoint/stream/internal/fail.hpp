#pragma once

#include "balsampoint/stream/state.hpp"

#include <vector>

namespace balsampoint::stream::internal {

/**
 * @brief Handles the failure of a call.
 * @param aProgress The answer.
 * @param aFailed The failure; dropped unless it is of the pending call.
 * @param aNow Current time.
 * @param aActions The request for a replacement is appended here, or a replay
 * that takes the place of a failed import.
 */
void
HandleCallFailure(Progress& aProgress,
                  const CallFailed& aFailed,
                  Instant aNow,
                  std::vector<Action>& aActions);

/**
 * @brief Handles the loss of a server and its KV.
 * @param aProgress The answer.
 * @param aGone The server.
 * @param aNow Current time.
 * @param aActions The request for a replacement is appended here if a call to
 * the server is pending; otherwise the stage is replaced before its next call.
 */
void
HandleServerGone(Progress& aProgress,
                 const ServerGone& aGone,
                 Instant aNow,
                 std::vector<Action>& aActions);

/**
 * @brief Whether a reply comes from an incarnation other than the stage's.
 * @param aProgress The answer; its current stage is the one that replied.
 * @param aIncarnation Incarnation in the reply; zero if the reply has none.
 */
[[nodiscard]] bool
FromOtherIncarnation(const Progress& aProgress, Incarnation aIncarnation);

} // namespace balsampoint::stream::internal
