#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Appends an entry of the leader's own to its log.
 * @param aState State of the leader; the entry's index and term are filled in.
 * @param aEntry The entry.
 * @param aActions Receives the write.
 */
void
AppendLocal(State& aState, Entry aEntry, Actions& aActions);

/**
 * @brief Starts to follow the progress of members that are new to the leader.
 * @param aState State of the leader.
 * @param aNow The time.
 */
void
TrackMembers(State& aState, Instant aNow);

/**
 * @brief Sends every member what it lacks.
 * @param aState State of the leader.
 * @param aNow The time.
 * @param aActions Receives the messages.
 */
void
Broadcast(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Sends one member what it lacks, or a heartbeat.
 * @param aState State of the leader.
 * @param aTo The member.
 * @param aNow The time.
 * @param aActions Receives the message.
 */
void
Replicate(State& aState, const HostId& aTo, Instant aNow, Actions& aActions);

/**
 * @brief Starts a round of heartbeats, or leaves office without a quorum.
 * @param aState State of the leader.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
Heartbeat(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Commits what a quorum has made durable.
 * @param aState State of the leader.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
AdvanceCommit(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Refuses readers that waited for this leader.
 * @param aState State of the leader.
 * @param aActions Receives the answers.
 */
void
LeaveOffice(State& aState, Actions& aActions);

/**
 * @brief Takes entries over from the leader.
 * @param aState State to change.
 * @param aFrom The leader.
 * @param aRequest Its request.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleAppendRequest(State& aState,
                    const HostId& aFrom,
                    const AppendRequest& aRequest,
                    Instant aNow,
                    Actions& aActions);

/**
 * @brief Notes what a member has made durable.
 * @param aState State of the leader.
 * @param aFrom The member.
 * @param aReply Its reply.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleAppendReply(State& aState,
                  const HostId& aFrom,
                  const AppendReply& aReply,
                  Instant aNow,
                  Actions& aActions);

/**
 * @brief Does what depends on a member's answer: commit, reads, hand-over.
 * @param aState State of the leader.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
AfterAnswer(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::consensus
