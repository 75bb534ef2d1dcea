#pragma once

#include "balsampoint/core/time.hpp"
#include "balsampoint/fleet/state.hpp"

#include <cstdint>

namespace balsampoint::fleet::internal {

/**
 * @brief Whether a server could be sent a request, its rate aside.
 * @param aGroup Its service.
 * @param aServer The server.
 */
[[nodiscard]] bool
ReceivesRequests(const Group& aGroup, const Server& aServer);

/**
 * @brief Requests per second of this host for a service.
 * @param aGroup The service.
 * @param aNow Current time.
 */
[[nodiscard]] double
LocalDemandRate(const Group& aGroup, Instant aNow);

/**
 * @brief Requests per second of all hosts for a service, as far as known.
 * @param aGroup The service.
 * @param aNow Current time.
 */
[[nodiscard]] double
DemandRate(const Group& aGroup, Instant aNow);

/**
 * @brief Draws the one server among those with a rate limit that may receive a
 * request.
 *
 * Each host draws for each of its requests, with the probability that the
 * server's rate bears to the demand of all hosts, so that the hosts together
 * keep the rate without a message for each request. A server that got what its
 * rate allows in the last seconds isn't drawn.
 * @param aGroup Service that the request is for.
 * @param aRandomSample Random number.
 * @param aNow Current time.
 * @return The server; null if none may receive it.
 */
[[nodiscard]] const Server*
DrawLimited(const Group& aGroup, std::uint64_t aRandomSample, Instant aNow);

} // namespace balsampoint::fleet::internal
