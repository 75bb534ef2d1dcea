#pragma once

#include "balsampoint/limit/shortage.hpp"

#include <cstddef>
#include <vector>

namespace balsampoint::limit {

/**
 * @brief Waiting requests that are worth a search for room, in their order.
 *
 * A request is left out if an earlier one needs no more room and may use the
 * same fill level; of each service, at most `maxTries` are returned.
 * @param aState State to read.
 */
[[nodiscard]] std::vector<Ticket>
NextToTry(const Shortage& aState);

/**
 * @brief Whether a new request must not be tried, as a waiting one that is
 * served before it would find room wherever it does.
 * @param aState State to read.
 * @param aService Service of the request.
 * @param aRequest The request.
 */
[[nodiscard]] bool
IsBlocked(const Shortage& aState,
          const ServiceId& aService,
          const WaitRequest& aRequest);

/**
 * @brief Number of waiting requests of all services.
 * @param aState State to read.
 */
[[nodiscard]] std::size_t
WaitingCount(const Shortage& aState);

/**
 * @brief First time at which a waiting request can no longer meet its target.
 * @param aState State to read.
 * @return `kNever` if none waits.
 */
[[nodiscard]] Instant
NextExpiry(const Shortage& aState);

/**
 * @brief Length of the time over which the retries of refused callers should be
 * spread: the time that this host needs to find room for them, within
 * `maxRetrySpread`.
 * @param aState State to read.
 * @param aService Service that refused them.
 * @param aNow Current time.
 * @return Zero for services without several urgencies.
 */
[[nodiscard]] Duration
RetrySpread(const Shortage& aState, const ServiceId& aService, Instant aNow);

} // namespace balsampoint::limit
