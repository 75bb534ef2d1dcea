#pragma once

#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/traffic_state.hpp"

namespace balsampoint::edge {

/**
 * @brief Follows what an answer says of its server: that it is leaving, that it
 * wants no requests for a time, or how many it takes. Idle connections to a
 * leaving server are closed.
 * @param aTraffic State of the traffic thread.
 * @param aService Service that the server belongs to.
 * @param aHop Server to which the request was sent.
 * @param aRequest Request that was answered; for the log.
 * @param aMetadata Contents of the answer's head.
 */
void
FollowStatements(TrafficState& aTraffic,
                 const ServiceId& aService,
                 const fleet::Hop& aHop,
                 const RequestId& aRequest,
                 const ResponseMetadata& aMetadata);

} // namespace balsampoint::edge
