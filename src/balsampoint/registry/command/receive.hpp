#pragma once

#include "balsampoint/registry/action.hpp"
#include "balsampoint/registry/event.hpp"
#include "balsampoint/registry/state.hpp"

#include <vector>

namespace balsampoint::registry {

/**
 * @brief Takes in a message of another host.
 * @param aState The registry.
 * @param aReceived The message and its sender.
 * @param aNow Time of receipt.
 * @param aActions Receives what is to be sent.
 */
void
Receive(State& aState,
        const Received& aReceived,
        Instant aNow,
        std::vector<Action>& aActions);

} // namespace balsampoint::registry
