#pragma once

#include "balsampoint/change/state.hpp"

namespace balsampoint::change {

/**
 * @brief Accepts an operator's change and sends it to the leader, or to a seed
 * if no leader is known.
 * @param aState State to change.
 * @param aEvent The change.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleSubmit(State& aState,
             const Submit& aEvent,
             Instant aNow,
             Actions& aActions);

/**
 * @brief Sends changes without a reply again, and answers those past their
 * deadline with an error.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
RetryPending(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Records the leader and sends it all pending changes.
 * @param aState State to change.
 * @param aEvent The leader.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleLeaderKnown(State& aState,
                  const LeaderKnown& aEvent,
                  Instant aNow,
                  Actions& aActions);

/**
 * @brief Answers a pending change, or sends it to the leader named in the
 * reply.
 * @param aState State to change.
 * @param aReply Reply to one attempt.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleReply(State& aState,
            const SubmissionReply& aReply,
            Instant aNow,
            Actions& aActions);

} // namespace balsampoint::change
