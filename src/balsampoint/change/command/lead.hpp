#pragma once

#include "balsampoint/change/state.hpp"

namespace balsampoint::change {

/**
 * @brief Proposes a change received from a host if this host is the leader;
 * otherwise refuses it. A change that is already decided is answered.
 * @param aState State to change.
 * @param aFrom The host; this one for changes submitted here.
 * @param aSubmission The change.
 * @param aActions Receives the resulting actions.
 */
void
HandleSubmission(State& aState,
                 const HostId& aFrom,
                 const Submission& aSubmission,
                 Actions& aActions);

/**
 * @brief Decides a committed change and answers the host that submitted it.
 * @param aState State to change.
 * @param aEvent The change.
 * @param aActions Receives the resulting actions.
 */
void
HandleCommitted(State& aState, const Committed& aEvent, Actions& aActions);

/**
 * @brief Answers the host that submitted a refused change, if the change was
 * certainly not carried out.
 * @param aState State to change.
 * @param aEvent The refusal.
 * @param aActions Receives the resulting actions.
 */
void
HandleProposalRefused(State& aState,
                      const ProposalRefused& aEvent,
                      Actions& aActions);

/**
 * @brief Replaces the table by that of a snapshot.
 * @param aState State to change.
 * @param aEvent The table.
 * @param aActions Receives the resulting actions.
 */
void
HandleRestored(State& aState, const Restored& aEvent, Actions& aActions);

} // namespace balsampoint::change
