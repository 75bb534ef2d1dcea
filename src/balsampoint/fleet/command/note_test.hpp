#pragma once

#include "balsampoint/fleet/state.hpp"

namespace balsampoint::fleet {

/**
 * @brief Notes that a server is being tested by a connection.
 * @param aState State to change.
 * @param aService The service.
 * @param aServer The server.
 * @param aNow The time.
 */
void
NoteTest(State& aState,
         const ServiceId& aService,
         const ServerId& aServer,
         Instant aNow);

} // namespace balsampoint::fleet
