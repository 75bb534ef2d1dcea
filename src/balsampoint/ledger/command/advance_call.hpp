#pragma once

#include "balsampoint/ledger/call.hpp"

#include <vector>

namespace balsampoint::ledger {

/**
 * @brief Proposes the claim of a call's key.
 * @param aCall The call, in phase `Claiming`.
 * @param aNow The current time.
 * @param aActions Actions are appended here.
 */
void
Begin(const Call& aCall, Instant aNow, std::vector<CallAction>& aActions);

/**
 * @brief Handles an event of a call.
 *
 * `Dispatch` is emitted at most once per call, and only after the claim was
 * granted.
 * @param aCall The call to advance.
 * @param aEvent The event; ignored if the call's phase doesn't expect it.
 * @param aNow The current time.
 * @param aActions Actions are appended here.
 */
void
Advance(Call& aCall,
        const CallEvent& aEvent,
        Instant aNow,
        std::vector<CallAction>& aActions);

} // namespace balsampoint::ledger
