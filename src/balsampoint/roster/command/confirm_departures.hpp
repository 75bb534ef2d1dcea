#pragma once

#include "balsampoint/roster/state.hpp"

namespace balsampoint::roster {

/**
 * @brief Answers a server that leaves: at once if enough control hosts have its
 * claim, and otherwise as soon as they have confirmed it.
 * @param aState State to change.
 * @param aTicket Ticket of the answer; none is given for an empty one.
 * @param aVersion Version of this host's claims that has the departure.
 * @param aNow Current time.
 * @param aActions The answer is appended to it.
 */
void
AnswerOnceCopied(State& aState,
                 Ticket aTicket,
                 std::uint64_t aVersion,
                 Instant aNow,
                 Actions& aActions);

/**
 * @brief Sends the answers whose departures enough control hosts have
 * confirmed, and refuses those that are overdue.
 * @param aState State to change.
 * @param aNow Current time.
 * @param aActions Answers are appended to it.
 */
void
SettleDepartures(State& aState, Instant aNow, Actions& aActions);

/**
 * @brief Makes the departure that another control host claims a claim of this
 * control host, so that it spreads even if the other one is lost.
 * @param aState State to change.
 * @param aClaim The claim; ignored unless the server leaves or is gone.
 * @param aNow Current time.
 */
void
AdoptDeparture(State& aState, const Claim& aClaim, Instant aNow);

/**
 * @brief When the next answer is overdue; `kNever` if none is pending.
 * @param aState State to read.
 */
[[nodiscard]] Instant
NextDepartureDeadline(const State& aState);

} // namespace balsampoint::roster
