#pragma once

#include "balsampoint/fleet/state.hpp"

namespace balsampoint::fleet {

/**
 * @brief Records that a connection is being opened to probe a server.
 * @param aState State to change.
 * @param aService Service that the server belongs to.
 * @param aServer Server that is probed.
 * @param aNow Current time.
 */
void
RecordProbe(State& aState,
            const ServiceId& aService,
            const ServerId& aServer,
            Instant aNow);

} // namespace balsampoint::fleet
