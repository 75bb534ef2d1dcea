#pragma once

#include "balsampoint/member/action.hpp"
#include "balsampoint/member/state.hpp"

#include <vector>

namespace balsampoint::member::internal {

/**
 * @brief Selects the updates to piggyback on one message.
 * @param aState State to change; the copies left of each update are reduced.
 * @param aTo The receiver; its own entry comes first if it is not alive, so
 * that it can refute that.
 * @return The updates.
 */
[[nodiscard]] std::vector<Host>
SelectUpdates(State& aState, const HostId& aTo);

/**
 * @brief Schedules an entry to be piggybacked on the next messages.
 * @param aState State of the module.
 * @param aPeer The changed entry.
 */
void
Spread(State& aState, Peer& aPeer);

/**
 * @brief Schedules this host's own entry to be piggybacked on the next
 * messages.
 * @param aState State of the module.
 */
void
SpreadSelf(State& aState);

/**
 * @brief Queues an entry for the next broadcast to the own zone.
 * @param aState State of the module.
 * @param aId Host whose entry is broadcast.
 * @param aNow Current time.
 */
void
Announce(State& aState, const HostId& aId, Instant aNow);

/**
 * @brief Broadcasts the queued entries to the own zone if that is due.
 * @param aState State of the module.
 * @param aNow Current time.
 * @param aActions Receives the messages.
 */
void
SendBroadcast(State& aState, Instant aNow, std::vector<Action>& aActions);

/**
 * @brief Sends a message to a known host.
 * @param aState State of the module.
 * @param aTo The receiver; nothing is sent if it is not known.
 * @param aMessage The message.
 * @param aActions Receives the message.
 */
void
SendTo(const State& aState,
       const HostId& aTo,
       Message aMessage,
       std::vector<Action>& aActions);

/**
 * @brief Sends the whole list of hosts in messages of bounded size.
 * @param aState State of the module.
 * @param aTo The receiver.
 * @param aReply Whether the receiver should answer with its own list.
 * @param aActions Receives the messages.
 */
void
SendList(const State& aState,
         const HostId& aTo,
         bool aReply,
         std::vector<Action>& aActions);

} // namespace balsampoint::member::internal
