#pragma once

#include "balsampoint/change/state.hpp"

namespace balsampoint::change {

/**
 * @brief Takes an operator's change and tries to bring it to the leader.
 * @param aState State to change.
 * @param aEvent The change.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleSubmit(State& aState,
             const Submit& aEvent,
             Instant aNow,
             Actions& aActions);

/**
 * @brief Tries again what got no reply, and gives up past the deadline.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
RetryPending(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Notes the leader and tries all waiting changes there.
 * @param aState State to change.
 * @param aEvent The leader.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleLeaderKnown(State& aState,
                  const LeaderKnown& aEvent,
                  Instant aNow,
                  Actions& aActions);

/**
 * @brief Ends a waiting change, or tries it elsewhere.
 * @param aState State to change.
 * @param aReply The reply to one try.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleReply(State& aState,
            const SubmissionReply& aReply,
            Instant aNow,
            Actions& aActions);

} // namespace balsampoint::change
