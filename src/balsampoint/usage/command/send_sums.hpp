#pragma once

#include "balsampoint/usage/state.hpp"

namespace balsampoint::usage {

/**
 * @brief Sends each entry host that reports to this one the work of all
 * others, and the sum of these entry hosts to the other relays and the control
 * host; drops reports that have expired.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Actions for the daemon are appended to it.
 */
void
SendSums(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Sends a relay the work of the hosts in other zones.
 * @param aState State to change.
 * @param aRelay The relay, whose sum was just recorded.
 * @param aNow Current time.
 * @param aActions The message is appended to it.
 */
void
AnswerGroup(State& aState,
            const HostId& aRelay,
            Instant aNow,
            Actions& aActions);

} // namespace balsampoint::usage
