#pragma once

#include "balsampoint/limit/shortage.hpp"
#include "balsampoint/routing/document.hpp"

namespace balsampoint::limit {

/**
 * @brief Follows which services have requests of several urgencies.
 * @param aState State to change.
 * @param aDocument Configuration that came into force.
 * @return Requests that no longer wait, as waiting no longer applies to their
 * service; each must be refused.
 */
[[nodiscard]] std::vector<Ticket>
FollowConfiguration(Shortage& aState, const routing::Document& aDocument);

/**
 * @brief Counts a new request as demand for its service.
 * @param aState State to change.
 * @param aService The service.
 * @param aUrgency Urgency of the request.
 * @param aTokens Tokens for which it needs KV.
 * @param aNow Current time.
 */
void
CountDemand(Shortage& aState,
            const ServiceId& aService,
            Urgency aUrgency,
            double aTokens,
            Instant aNow);

/**
 * @brief Takes over the demand of the other hosts and moves the levels of a
 * service towards those that follow from it.
 *
 * The first levels after a time without sums apply at once.
 * @param aState State to change.
 * @param aService The service.
 * @param aDemand Demand of the other hosts by urgency.
 * @param aCapacity KV tokens that fit into the service's engines.
 * @param aNow Current time.
 */
void
SetRemoteDemand(Shortage& aState,
                const ServiceId& aService,
                std::vector<usage::UrgencyDemand> aDemand,
                double aCapacity,
                Instant aNow);

} // namespace balsampoint::limit
