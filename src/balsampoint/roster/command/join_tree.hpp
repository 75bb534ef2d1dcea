#pragma once

#include "balsampoint/roster/state.hpp"

#include <span>

namespace balsampoint::roster {

/**
 * @brief Whether this host sends its claims to a subscriber, or refers it to
 * relays. A control host serves a few relays of each zone, so that its cost
 * grows with the zones rather than with the hosts.
 * @param aState State to read.
 * @param aFrom Host that subscribes.
 * @param aMessage Subscription as received.
 * @param aNow Current time.
 */
[[nodiscard]] bool
IsServed(const State& aState,
         const HostId& aFrom,
         const Subscribe& aMessage,
         Instant aNow);

/**
 * @brief Refers a subscriber to the relays of its zone; it gets no answer if
 * none are known.
 * @param aState State to change.
 * @param aFrom Host that subscribes.
 * @param aMessage Subscription as received.
 * @param aNow Current time.
 * @param aActions The message is appended to it.
 */
void
Refer(State& aState,
      const HostId& aFrom,
      const Subscribe& aMessage,
      Instant aNow,
      Actions& aActions);

/**
 * @brief Subscribes to a host, or renews the subscription.
 * @param aState State to read.
 * @param aHost The host.
 * @param aSource What has been received from it; notes that it was asked.
 * @param aNow Current time.
 * @param aActions The message is appended to it.
 */
void
SendSubscription(const State& aState,
                 const HostId& aHost,
                 Source& aSource,
                 Instant aNow,
                 Actions& aActions);

/**
 * @brief Adds control hosts that this host did not know; control hosts and
 * relays subscribe to them.
 * @param aState State to change.
 * @param aControls The control hosts.
 * @param aNow Current time.
 * @param aActions Resulting actions are appended to it.
 */
void
MergeControlHosts(State& aState,
                  std::span<const HostAddress> aControls,
                  Instant aNow,
                  Actions& aActions);

/**
 * @brief Records relays of this host's zone that another host names.
 * @param aState State to change.
 * @param aRelays The relays.
 * @param aNow Current time.
 * @param aActions Resulting actions are appended to it.
 */
void
AdoptRelays(State& aState,
            std::span<const HostAddress> aRelays,
            Instant aNow,
            Actions& aActions);

/**
 * @brief Follows an update: an entry host that a control host names among the
 * relays becomes one.
 * @param aState State to change.
 * @param aFrom Host that sent the update.
 * @param aRelays Relays that the update names.
 * @param aNow Current time.
 * @param aActions Resulting actions are appended to it.
 */
void
Attach(State& aState,
       const HostId& aFrom,
       std::span<const HostAddress> aRelays,
       Instant aNow,
       Actions& aActions);

/**
 * @brief Subscribes to relays as another host tells; a relay gives way if a
 * control host tells it.
 * @param aState State to change.
 * @param aFrom Host that sent the referral.
 * @param aMessage Referral as received.
 * @param aNow Current time.
 * @param aActions Resulting actions are appended to it.
 */
void
HandleReferral(State& aState,
               const HostId& aFrom,
               const Referral& aMessage,
               Instant aNow,
               Actions& aActions);

/**
 * @brief Renews the subscriptions: of control hosts and relays at every known
 * control host, of entry hosts at their relays or, without any, at control
 * hosts. Drops hosts that have been silent for too long.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Messages to send are appended to it.
 */
void
RenewSubscriptions(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Asks all control hosts for claims if no relay serves this entry host,
 * at most once in a renewal interval.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Messages to send are appended to it.
 */
void
AskControlHosts(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::roster
