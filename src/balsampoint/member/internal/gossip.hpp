#pragma once

#include "balsampoint/member/action.hpp"
#include "balsampoint/member/state.hpp"

#include <vector>

namespace balsampoint::member::internal {

/**
 * @brief Chooses the updates that ride along with one message.
 * @param aState The membership; counts down what is sent.
 * @param aTo The receiver; hears of doubts about itself first.
 * @return The updates.
 */
[[nodiscard]] std::vector<Host>
TakeUpdates(State& aState, const HostId& aTo);

/**
 * @brief Lets an entry ride along with the next messages.
 * @param aState The membership.
 * @param aPeer The changed entry.
 */
void
Spread(State& aState, Peer& aPeer);

/**
 * @brief Lets this host's own entry ride along with the next messages.
 * @param aState The membership.
 */
void
SpreadSelf(State& aState);

/**
 * @brief Queues an entry for the next broadcast to the own zone.
 * @param aState The membership.
 * @param aId The host that the entry is about.
 * @param aNow The time.
 */
void
Announce(State& aState, const HostId& aId, Instant aNow);

/**
 * @brief Broadcasts what is queued if that is due.
 * @param aState The membership.
 * @param aNow The time.
 * @param aActions Receives the messages.
 */
void
SendNews(State& aState, Instant aNow, std::vector<Action>& aActions);

/**
 * @brief Sends a message to a known host.
 * @param aState The membership.
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
 * @brief Sends the whole list in messages of bounded size.
 * @param aState The membership.
 * @param aTo The receiver.
 * @param aReply Whether it shall answer with its own list.
 * @param aActions Receives the messages.
 */
void
SendList(const State& aState,
         const HostId& aTo,
         bool aReply,
         std::vector<Action>& aActions);

} // namespace balsampoint::member::internal
