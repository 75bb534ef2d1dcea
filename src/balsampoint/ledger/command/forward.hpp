#pragma once

#include "balsampoint/ledger/module.hpp"

namespace balsampoint::ledger {

/**
 * @brief Queues a command of this host and sends it to the leader. While no
 * leader is known, the members of the control group are tried in turn.
 * @param aState State to change.
 * @param aCommand The command and the ticket of its waiting thread.
 * @param aNow The current time.
 * @param aActions Actions are appended here.
 */
void
Submit(State& aState,
       PendingCommand aCommand,
       Instant aNow,
       std::vector<Action>& aActions);

/**
 * @brief Sends all pending commands to a newly known leader.
 * @param aState State to change.
 * @param aNow The current time.
 * @param aActions Actions are appended here.
 */
void
ResendAll(State& aState, Instant aNow, std::vector<Action>& aActions);

/**
 * @brief Completes a pending command of this host.
 * @param aState State to change.
 * @param aNumber Number of the command; ignored if it is no longer pending.
 * @param aOutcome Outcome of the command.
 * @param aActions Actions are appended here.
 */
void
Complete(State& aState,
         std::uint64_t aNumber,
         const Outcome& aOutcome,
         std::vector<Action>& aActions);

/**
 * @brief Fails the commands past their deadline and resends those that are
 * due.
 * @param aState State to change.
 * @param aNow The current time.
 * @param aActions Actions are appended here.
 */
void
HandleTimers(State& aState, Instant aNow, std::vector<Action>& aActions);

/**
 * @brief Handles a message of another host.
 * @param aState State to change.
 * @param aReceived The message and its sender.
 * @param aNow The current time.
 * @param aActions Actions are appended here.
 */
void
Receive(State& aState,
        const Received& aReceived,
        Instant aNow,
        std::vector<Action>& aActions);

/**
 * @brief Handles a proposal that the control group refused: redirects the
 * host that sent the command, or resends a command of this host.
 * @param aState State to change.
 * @param aTicket Ticket of the refused `Replicate`.
 * @param aNow The current time.
 * @param aActions Actions are appended here.
 */
void
HandleRefused(State& aState,
              Ticket aTicket,
              Instant aNow,
              std::vector<Action>& aActions);

/**
 * @brief Passes the outcome of an applied command to the host it came from.
 * @param aState State to change.
 * @param aTicket Ticket of the `Replicate`; ignored if it isn't pending.
 * @param aOutcome Outcome of the command.
 * @param aActions Actions are appended here.
 */
void
ReportOutcome(State& aState,
              Ticket aTicket,
              const Outcome& aOutcome,
              std::vector<Action>& aActions);

} // namespace balsampoint::ledger
