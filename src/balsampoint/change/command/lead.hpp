#pragma once

#include "balsampoint/change/state.hpp"

namespace balsampoint::change {

/**
 * @brief Proposes a change that a host brings, if this host leads.
 * @param aState State to change.
 * @param aFrom The host; this one for its own operators.
 * @param aSubmission The change.
 * @param aActions Receives the actions.
 */
void
HandleSubmission(State& aState,
                 const HostId& aFrom,
                 const Submission& aSubmission,
                 Actions& aActions);

/**
 * @brief Decides a committed change and answers the host that brought it.
 * @param aState State to change.
 * @param aEvent The change.
 * @param aActions Receives the actions.
 */
void
HandleCommitted(State& aState, const Committed& aEvent, Actions& aActions);

/**
 * @brief Tells the host that brought a change that it was refused.
 * @param aState State to change.
 * @param aEvent The refusal.
 * @param aActions Receives the actions.
 */
void
HandleProposalRefused(State& aState,
                      const ProposalRefused& aEvent,
                      Actions& aActions);

/**
 * @brief Takes the table of a snapshot over.
 * @param aState State to change.
 * @param aEvent The table.
 * @param aActions Receives the actions.
 */
void
HandleRestored(State& aState, const Restored& aEvent, Actions& aActions);

} // namespace balsampoint::change
