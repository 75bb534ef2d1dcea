#pragma once

#include "balsampoint/ledger/call.hpp"

#include <vector>

namespace balsampoint::ledger {

/**
 * @brief Starts a call: claims its key.
 * @param aCall The call, in phase `Claiming`.
 * @param aNow The time.
 * @param aActions Actions are appended here.
 */
void
Begin(const Call& aCall, Instant aNow, std::vector<CallAction>& aActions);

/**
 * @brief Moves a call on. `Dispatch` is asked for at most once in its life,
 * and never before the table granted the claim.
 * @param aCall The call; changed.
 * @param aEvent What happened; an event that its phase doesn't expect changes
 * nothing.
 * @param aNow The time.
 * @param aActions Actions are appended here.
 */
void
Advance(Call& aCall,
        const CallEvent& aEvent,
        Instant aNow,
        std::vector<CallAction>& aActions);

} // namespace balsampoint::ledger
