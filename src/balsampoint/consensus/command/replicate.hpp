#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Appends a new entry to the leader's log and writes it to the disk.
 * @param aState State of the leader; the entry's index and term are filled in.
 * @param aEntry The entry.
 * @param aActions Receives the write.
 */
void
AppendLocal(State& aState, Entry aEntry, Actions& aActions);

/**
 * @brief Starts to track the progress of members that are not tracked yet.
 * @param aState State of the leader.
 * @param aNow Current time.
 */
void
TrackMembers(State& aState, Instant aNow);

/**
 * @brief Calls `Replicate` for every other member.
 * @param aState State of the leader.
 * @param aNow Current time.
 * @param aActions Receives the messages.
 */
void
Broadcast(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Sends a member its next entries or snapshot part; a member without
 * recent contact gets an empty message as a heartbeat.
 * @param aState State of the leader.
 * @param aTo The member.
 * @param aNow Current time.
 * @param aActions Receives the message.
 */
void
Replicate(State& aState, const HostId& aTo, Instant aNow, Actions& aActions);

/**
 * @brief Starts a round of heartbeats; steps down if no quorum has replied
 * recently.
 * @param aState State of the leader.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
Heartbeat(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Commits entries of the current term that a quorum holds durably, and
 * applies them.
 * @param aState State of the leader.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
AdvanceCommit(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Refuses pending reads, discards the progress of members and ends a
 * hand-over.
 * @param aState State of the leader.
 * @param aActions Receives the answers.
 */
void
StepDown(State& aState, Actions& aActions);

/**
 * @brief Appends the leader's entries to the log.
 * @param aState State to change.
 * @param aFrom The leader.
 * @param aRequest Its request.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleAppendRequest(State& aState,
                    const HostId& aFrom,
                    const AppendRequest& aRequest,
                    Instant aNow,
                    Actions& aActions);

/**
 * @brief Records what a member has made durable.
 * @param aState State of the leader.
 * @param aFrom The member.
 * @param aReply Its reply.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleAppendReply(State& aState,
                  const HostId& aFrom,
                  const AppendReply& aReply,
                  Instant aNow,
                  Actions& aActions);

/**
 * @brief Advances everything that waits for replies: commit, pending reads,
 * hand-over and membership change.
 * @param aState State of the leader.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
AfterReply(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::consensus
