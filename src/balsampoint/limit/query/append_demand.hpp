#pragma once

#include "balsampoint/limit/shortage.hpp"

namespace balsampoint::limit {

/**
 * @brief Adds this host's demand by urgency to a report of its use of services.
 *
 * Services whose requests are equally urgent are not reported.
 * @param aState State to read.
 * @param aNow Current time.
 * @param aServices Report to add to; a service may already be in it.
 */
void
AppendDemand(const Shortage& aState,
             Instant aNow,
             std::vector<usage::ServiceUsage>& aServices);

} // namespace balsampoint::limit
