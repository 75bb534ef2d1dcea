#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Chooses a new random time at which to stand for election.
 * @param aState State to change.
 * @param aNow The time.
 */
void
ResetElection(State& aState, Instant aNow);

/**
 * @brief Draws the time at which a host that has started asks for a first
 * leader.
 * @param aState State to change.
 * @param aNow The time.
 */
void
AwaitFirstLeader(State& aState, Instant aNow);

/**
 * @brief Becomes a follower and takes over a later term.
 * @param aState State to change.
 * @param aTerm The term; not before the current one.
 * @param aLeader Leader of the term; empty if not known.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
BecomeFollower(State& aState,
               Term aTerm,
               const HostId& aLeader,
               Instant aNow,
               Actions& aActions);

/**
 * @brief Asks the voters whether they would give their votes.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
StartPreVote(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Enters the next term and asks for votes.
 * @param aState State to change.
 * @param aHandOver Whether the leader asked for the election.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
StartElection(State& aState, bool aHandOver, Instant aNow, Actions& aActions);

/**
 * @brief Counts the host's own vote once it is durable.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
CountOwnVote(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Gives or refuses a vote.
 * @param aState State to change.
 * @param aFrom The candidate.
 * @param aRequest Its request.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleVoteRequest(State& aState,
                  const HostId& aFrom,
                  const VoteRequest& aRequest,
                  Instant aNow,
                  Actions& aActions);

/**
 * @brief Counts a vote.
 * @param aState State to change.
 * @param aFrom The voter.
 * @param aReply Its reply.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleVoteReply(State& aState,
                const HostId& aFrom,
                const VoteReply& aReply,
                Instant aNow,
                Actions& aActions);

} // namespace balsampoint::consensus
