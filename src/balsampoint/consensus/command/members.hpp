#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Takes the group from the end of the log.
 * @param aState State to change.
 */
void
RefreshMembers(State& aState);

/**
 * @brief Adds a host as a learner.
 * @param aState State to change.
 * @param aEvent The request; answered under its ticket.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleAddMember(State& aState,
                const AddMember& aEvent,
                Instant aNow,
                Actions& aActions);

/**
 * @brief Removes a member, unless the rest would have no live quorum.
 * @param aState State to change.
 * @param aEvent The request; answered under its ticket.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleRemoveMember(State& aState,
                   const RemoveMember& aEvent,
                   Instant aNow,
                   Actions& aActions);

/**
 * @brief Adds a host as a learner that takes the place of a member later.
 * @param aState State to change.
 * @param aEvent The request; answered under its ticket.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleReplaceMember(State& aState,
                    const ReplaceMember& aEvent,
                    Instant aNow,
                    Actions& aActions);

/**
 * @brief Takes the next step of a change that has started: promotes a learner
 * that is synced up to the commit, or removes a voter that it replaces.
 * @param aState State of the leader.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
ContinueMembers(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Puts a spare in the place of a voter that has been silent for long.
 * @param aState State of the leader.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
RepairMembers(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::consensus
