#pragma once

#include "balsampoint/ledger/module.hpp"

namespace balsampoint::ledger {

/**
 * @brief Takes a command of this host and sends it to the leader.
 * @param aState State to change.
 * @param aCommand The command with who waits for it.
 * @param aNow The time.
 * @param aActions Actions are appended here.
 */
void
Submit(State& aState,
       PendingCommand aCommand,
       Instant aNow,
       std::vector<Action>& aActions);

/**
 * @brief Sends all commands at once to a leader that has just become known.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Actions are appended here.
 */
void
SubmitAgain(State& aState, Instant aNow, std::vector<Action>& aActions);

/**
 * @brief Ends a command of this host.
 * @param aState State to change.
 * @param aNumber The command; nothing happens when it has ended before.
 * @param aOutcome Its outcome.
 * @param aActions Actions are appended here.
 */
void
Resolve(State& aState,
        std::uint64_t aNumber,
        const Outcome& aOutcome,
        std::vector<Action>& aActions);

/**
 * @brief Gives up or sends again the commands that are due.
 * @param aState State to change.
 * @param aNow The time.
 * @param aActions Actions are appended here.
 */
void
SendDue(State& aState, Instant aNow, std::vector<Action>& aActions);

/**
 * @brief Handles a message of another host.
 * @param aState State to change.
 * @param aReceived The message.
 * @param aNow The time.
 * @param aActions Actions are appended here.
 */
void
Receive(State& aState,
        const Received& aReceived,
        Instant aNow,
        std::vector<Action>& aActions);

/**
 * @brief Handles a refusal of the control group.
 * @param aState State to change.
 * @param aTicket The `Replicate` refused.
 * @param aNow The time.
 * @param aActions Actions are appended here.
 */
void
Reject(State& aState,
       Ticket aTicket,
       Instant aNow,
       std::vector<Action>& aActions);

/**
 * @brief Passes an outcome to the host that asked for it.
 * @param aState State to change.
 * @param aTicket The `Replicate` that was applied.
 * @param aOutcome Its outcome.
 * @param aActions Actions are appended here.
 */
void
Report(State& aState,
       Ticket aTicket,
       const Outcome& aOutcome,
       std::vector<Action>& aActions);

} // namespace balsampoint::ledger
