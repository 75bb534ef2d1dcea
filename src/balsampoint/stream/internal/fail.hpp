#pragma once

#include "balsampoint/stream/state.hpp"

#include <vector>

namespace balsampoint::stream::internal {

/**
 * @brief Takes the failure of a call.
 * @param aProgress The answer.
 * @param aFailed The failure; dropped when it is of no call on its way.
 * @param aNow The time.
 * @param aActions Gets the wish for a replacement, or a replay instead of a
 * failed import.
 */
void
TakeFailure(Progress& aProgress,
            const CallFailed& aFailed,
            Instant aNow,
            std::vector<Action>& aActions);

/**
 * @brief Takes the news that a server's KV is lost.
 * @param aProgress The answer.
 * @param aGone The server.
 * @param aNow The time.
 * @param aActions Gets the wish for a replacement when a call to it is on its
 * way; else the stage is replaced when its turn comes.
 */
void
TakeServerGone(Progress& aProgress,
               const ServerGone& aGone,
               Instant aNow,
               std::vector<Action>& aActions);

/**
 * @brief Tells whether a reply comes from another restart of the server.
 * @param aProgress The answer; a call is on its way.
 * @param aIncarnation Restart named in the reply; zero when unknown.
 */
[[nodiscard]] bool
FromOtherIncarnation(const Progress& aProgress, Incarnation aIncarnation);

} // namespace balsampoint::stream::internal
