#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Keeps a snapshot of the tables and drops the entries it covers.
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
 * @param aTo The member; one not heard lately gets an empty part.
 * @param aNow The time.
 * @param aActions Receives the message.
 */
void
SendSnapshotPart(State& aState,
                 const HostId& aTo,
                 Instant aNow,
                 Actions& aActions);

/**
 * @brief Takes over a part of the leader's snapshot.
 * @param aState State to change.
 * @param aFrom The leader.
 * @param aRequest The part.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleSnapshotRequest(State& aState,
                      const HostId& aFrom,
                      const SnapshotRequest& aRequest,
                      Instant aNow,
                      Actions& aActions);

/**
 * @brief Notes how much of the snapshot a member has.
 * @param aState State of the leader.
 * @param aFrom The member.
 * @param aReply Its reply.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandleSnapshotReply(State& aState,
                    const HostId& aFrom,
                    const SnapshotReply& aReply,
                    Instant aNow,
                    Actions& aActions);

} // namespace balsampoint::consensus
