#pragma once

#include "balsampoint/member/action.hpp"
#include "balsampoint/member/event.hpp"
#include "balsampoint/member/state.hpp"

#include <vector>

namespace balsampoint::member {

/**
 * @brief Handles a message from another host. A dead host that is back gets the
 * whole list.
 * @param aState State of the module.
 * @param aReceived The message and its sender.
 * @param aNow Time of receipt.
 * @param aActions Receives the messages.
 */
void
Receive(State& aState,
        const Received& aReceived,
        Instant aNow,
        std::vector<Action>& aActions);

} // namespace balsampoint::member
