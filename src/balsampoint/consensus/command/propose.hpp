#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/**
 * @brief Appends a command if this host leads and may take it.
 * @param aState State to change.
 * @param aEvent The command; a refusal is answered under its ticket.
 * @param aNow The time.
 * @param aActions Receives the actions.
 */
void
HandlePropose(State& aState,
              const Propose& aEvent,
              Instant aNow,
              Actions& aActions);

} // namespace balsampoint::consensus
