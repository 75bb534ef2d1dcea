#pragma once

#include "balsampoint/reach/connection_evidence.hpp"
#include "balsampoint/reach/state.hpp"

#include <span>

namespace balsampoint::reach {

/**
 * @brief Records what the connections with a request in progress show.
 * @param aState State to change.
 * @param aConnections Connections that this host has opened itself.
 * @param aNow Current time.
 */
void
RecordTraffic(State& aState,
              std::span<const ConnectionEvidence> aConnections,
              Instant aNow);

} // namespace balsampoint::reach
