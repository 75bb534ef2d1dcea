#pragma once

#include "balsampoint/registry/action.hpp"
#include "balsampoint/registry/event.hpp"
#include "balsampoint/registry/state.hpp"

#include <vector>

namespace balsampoint::registry {

/**
 * @brief Applies a message of another host.
 * @param aState State to change.
 * @param aReceived Message and its sender.
 * @param aNow Time of receipt.
 * @param aActions Messages to send are appended to it.
 */
void
Receive(State& aState,
        const Received& aReceived,
        Instant aNow,
        std::vector<Action>& aActions);

} // namespace balsampoint::registry
