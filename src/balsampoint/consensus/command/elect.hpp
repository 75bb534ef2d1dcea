#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Restarts the election timer with a new random timeout.
 * @param aState State to change.
 * @param aNow Current time.
 */
void
ResetElection(State& aState, Instant aNow);

/**
 * @brief Restarts the election timer with the shorter timeout used until a
 * first leader is known.
 * @param aState State to change.
 * @param aNow Current time.
 */
void
ResetFirstElection(State& aState, Instant aNow);

/**
 * @brief Becomes a follower, in a later term if one is given.
 * @param aState State to change.
 * @param aTerm Term to enter; not lower than the current one.
 * @param aLeader Leader of the term; empty if unknown.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
BecomeFollower(State& aState,
               Term aTerm,
               const HostId& aLeader,
               Instant aNow,
               Actions& aActions);

/**
 * @brief Starts a pre-vote: asks the voters whether they would grant their
 * votes.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
StartPreVote(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Becomes a candidate in the next term and requests votes.
 * @param aState State to change.
 * @param aHandOver Whether the leader requested the election.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
StartElection(State& aState, bool aHandOver, Instant aNow, Actions& aActions);

/**
 * @brief Counts the candidate's own vote if it is durable.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
CountOwnVote(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Answers a vote or pre-vote request. Ignores requests from hosts that
 * are not voters, and requests made while the leader is alive unless they
 * belong to a hand-over.
 * @param aState State to change.
 * @param aFrom The candidate.
 * @param aRequest Its request.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleVoteRequest(State& aState,
                  const HostId& aFrom,
                  const VoteRequest& aRequest,
                  Instant aNow,
                  Actions& aActions);

/**
 * @brief Counts a granted vote or pre-vote; a reply with a later term ends the
 * election.
 * @param aState State to change.
 * @param aFrom The voter.
 * @param aReply Its reply.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleVoteReply(State& aState,
                const HostId& aFrom,
                const VoteReply& aReply,
                Instant aNow,
                Actions& aActions);

} // namespace balsampoint::consensus
