#pragma once

#include "balsampoint/limit/shortage.hpp"

#include <optional>

namespace balsampoint::limit::internal {

/** @brief Length of the time over which rates are measured. */
inline constexpr Duration kRateWindow = std::chrono::seconds{ 2 };

/**
 * @brief Mean rate within the last time.
 * @param aCount Counted events or amounts.
 * @param aNow Current time.
 * @return Events or amounts per second.
 */
[[nodiscard]] double
RateOf(const fleet::RecentCount& aCount, Instant aNow);

/**
 * @brief KV tokens per second by urgency, of this host and the others.
 * @param aService The service.
 * @param aNow Current time.
 */
[[nodiscard]] std::map<Urgency, double>
SumOfDemand(const ServiceShortage& aService, Instant aNow);

/**
 * @brief What each urgency may use.
 * @param aSettings Bounds and horizon.
 * @param aDemand KV tokens per second by urgency.
 * @param aCapacity KV tokens that fit into the service's engines.
 */
[[nodiscard]] std::map<Urgency, UrgencyLevel>
LevelsFor(const ShortageSettings& aSettings,
          const std::map<Urgency, double>& aDemand,
          double aCapacity);

/**
 * @brief Requests per second for which this host finds room: those that start,
 * or those that end if there are more.
 * @param aService The service.
 * @param aNow Current time.
 */
[[nodiscard]] double
StartRate(const ServiceShortage& aService, Instant aNow);

/**
 * @brief Whether a waiting request is served before another.
 *
 * Order: urgency, callers that try again, the workspace with the least recent
 * use, arrival.
 * @param aService Their service.
 * @param aOne The request.
 * @param aOther The other one.
 */
[[nodiscard]] bool
IsBefore(const ServiceShortage& aService,
         const WaitRequest& aOne,
         const WaitRequest& aOther);

/**
 * @brief Whether a request that finds no room shows that another, later one
 * finds none: it needs no more and may use at least the same fill level.
 * @param aService Their service.
 * @param aOne The request.
 * @param aOther The other one.
 */
[[nodiscard]] bool
Blocks(const ServiceShortage& aService,
       const WaitRequest& aOne,
       const WaitRequest& aOther);

/**
 * @brief Time until this host is expected to find room for a request: the
 * number of requests up to it in the queue over the rate of starts.
 * @param aService Its service.
 * @param aRequest The request, in the queue or not.
 * @param aNow Current time.
 * @return Absent if the rate is zero.
 */
[[nodiscard]] std::optional<Duration>
ExpectedWait(const ServiceShortage& aService,
             const WaitRequest& aRequest,
             Instant aNow);

/**
 * @brief Whether room is expected at a time at which a request is still useful.
 * @param aService Its service.
 * @param aRequest The request, in the queue or not.
 * @param aNow Current time.
 */
[[nodiscard]] bool
IsInTime(const ServiceShortage& aService,
         const WaitRequest& aRequest,
         Instant aNow);

} // namespace balsampoint::limit::internal
