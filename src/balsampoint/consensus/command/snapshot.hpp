#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Stores a snapshot of the tables and drops the entries it covers,
 * except for the last `retainedEntries`.
 * @param aState State to change.
 * @param aEvent The encoded tables.
 * @param aActions Receives the write.
 */
void
HandleSnapshotTaken(State& aState,
                    const SnapshotTaken& aEvent,
                    Actions& aActions);

/**
 * @brief Sends a member the next part of the snapshot.
 * @param aState State of the leader.
 * @param aTo The member; without recent contact it gets an empty part.
 * @param aNow Current time.
 * @param aActions Receives the message.
 */
void
SendSnapshotPart(State& aState,
                 const HostId& aTo,
                 Instant aNow,
                 Actions& aActions);

/**
 * @brief Stores a part of the leader's snapshot, and installs it when complete.
 * @param aState State to change.
 * @param aFrom The leader.
 * @param aRequest The part.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleSnapshotRequest(State& aState,
                      const HostId& aFrom,
                      const SnapshotRequest& aRequest,
                      Instant aNow,
                      Actions& aActions);

/**
 * @brief Records how much of the snapshot a member has received.
 * @param aState State of the leader.
 * @param aFrom The member.
 * @param aReply Its reply.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandleSnapshotReply(State& aState,
                    const HostId& aFrom,
                    const SnapshotReply& aReply,
                    Instant aNow,
                    Actions& aActions);

} // namespace balsampoint::consensus
