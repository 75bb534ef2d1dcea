#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Appends a command to the log if this host leads and can accept it.
 * @param aState State to change.
 * @param aEvent The command; a refusal carries its ticket.
 * @param aNow Current time.
 * @param aActions Receives the resulting actions.
 */
void
HandlePropose(State& aState,
              const Propose& aEvent,
              Instant aNow,
              Actions& aActions);

} // namespace balsampoint::consensus
