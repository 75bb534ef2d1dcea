#pragma once

#include "balsampoint/fleet/state.hpp"

#include <optional>

namespace balsampoint::fleet {

/**
 * @brief Takes a server out of the choice because it says that it is leaving;
 * only a newer incarnation of it comes back.
 * @param aState State to change.
 * @param aService Service that the server belongs to.
 * @param aHop The server; ignored if it has started anew since.
 * @return Whether this is news.
 */
bool
RecordLeaving(State& aState, const ServiceId& aService, const Hop& aHop);

/**
 * @brief Takes a server out of the choice for the time for which it wants no
 * requests. Afterwards one request at a time goes there until one is answered,
 * so that the hosts do not all return at once.
 * @param aState State to change.
 * @param aService Service that the server belongs to.
 * @param aHop The server; ignored if it has started anew since.
 * @param aUntil End of the time; an earlier end than known changes nothing.
 * @return Whether this is news.
 */
bool
RecordBackOff(State& aState,
              const ServiceId& aService,
              const Hop& aHop,
              Instant aUntil);

/**
 * @brief Records how many requests a server takes from all hosts together.
 * @param aState State to change.
 * @param aService Service that the server belongs to.
 * @param aHop The server; ignored if it has started anew since.
 * @param aLimit Requests per second; absent for no limit.
 * @param aNow Current time.
 * @return Whether this is news.
 */
bool
RecordRateLimit(State& aState,
                const ServiceId& aService,
                const Hop& aHop,
                std::optional<double> aLimit,
                Instant aNow);

/**
 * @brief Records what a server has said to another host of its rate, unless it
 * has said something newer. Who knows that a limit has ended tells the host.
 * @param aServer The server.
 * @param aLimit Requests per second; absent for no limit.
 * @param aStatedAt When it said so.
 * @param aNow Current time.
 */
void
RecordRemoteRateLimit(Server& aServer,
                      std::optional<double> aLimit,
                      Instant aStatedAt,
                      Instant aNow);

} // namespace balsampoint::fleet
