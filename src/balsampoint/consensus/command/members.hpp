#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Sets the current members from the last members entry of the log, and
 * reports a change.
 * @param aState State to change.
 * @param aActions Receives `MembersUpdated`.
 */
void
RefreshMembers(State& aState, Actions& aActions);

/**
 * @brief Adds a host as a learner.
 * @param aState State to change.
 * @param aEvent The request; the answer carries its ticket.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleAddMember(State& aState,
                const AddMember& aEvent,
                Instant aNow,
                Actions& aActions);

/**
 * @brief Removes a member unless the remaining voters would lack a live quorum.
 * @param aState State to change.
 * @param aEvent The request; the answer carries its ticket.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleRemoveMember(State& aState,
                   const RemoveMember& aEvent,
                   Instant aNow,
                   Actions& aActions);

/**
 * @brief Adds a host as a learner that replaces a member after its promotion.
 * @param aState State to change.
 * @param aEvent The request; the answer carries its ticket.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleReplaceMember(State& aState,
                    const ReplaceMember& aEvent,
                    Instant aNow,
                    Actions& aActions);

/**
 * @brief Performs the next step of a membership change: promotes a learner that
 * has all committed entries, or removes the voter that it has replaced.
 * @param aState State of the leader.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
ContinueMembers(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Adds standby hosts until the target number of members is reached,
 * starts the replacement of voters without contact for `replaceTimeout`, and
 * removes replacement learners that are lost themselves.
 * @param aState State of the leader.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
RepairMembers(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::consensus
