#pragma once

#include "balsampoint/member/action.hpp"
#include "balsampoint/member/event.hpp"
#include "balsampoint/member/state.hpp"

#include <vector>

namespace balsampoint::member {

/**
 * @brief Takes in a message of another host.
 * @param aState The membership.
 * @param aReceived The message and its sender.
 * @param aNow Time of receipt.
 * @param aActions Receives what is to be sent.
 */
void
Receive(State& aState,
        const Received& aReceived,
        Instant aNow,
        std::vector<Action>& aActions);

} // namespace balsampoint::member
