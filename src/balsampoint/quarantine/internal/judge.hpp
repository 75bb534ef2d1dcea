#pragma once

#include "balsampoint/quarantine/state.hpp"

namespace balsampoint::quarantine::internal {

/**
 * @brief Whether something was answered before, as far as this host remembers.
 * @param aState State to read.
 * @param aId Request or prompt part.
 */
[[nodiscard]] bool
IsKnown(const State& aState, const SuspectId& aId);

/**
 * @brief Crashes under a suspect if they are enough for a verdict, otherwise
 * zero.
 * @param aState State to read.
 * @param aId Id of the suspect.
 * @param aSuspect Its crashes.
 */
[[nodiscard]] std::size_t
ConvictingCrashes(const State& aState,
                  const SuspectId& aId,
                  const Suspect& aSuspect);

/**
 * @brief End of the doubt about a request under which a server crashed.
 * @param aState State to change: the hosts' ends are spread at random.
 * @param aCrashedAt When the server crashed.
 */
[[nodiscard]] Instant
DoubtEnd(State& aState, Instant aCrashedAt);

/**
 * @brief Draws the verdicts from the evidence.
 *
 * A crash accuses every request that was in flight at the server, and the parts
 * of its prompt. The suspect with most crashes explains its crashes, so they no
 * longer count against others; a request explains them rather than its parts.
 * @param aState State to change.
 * @param aNow Current time.
 */
void
Judge(State& aState, Instant aNow);

/**
 * @brief Drops the crashes that an answer refutes.
 * @param aState State to change.
 * @param aId Request or prompt part that was answered.
 * @param aAt When the answer was written.
 */
void
Clear(State& aState, const SuspectId& aId, Instant aAt);

/**
 * @brief Records an answer for a prompt part and drops the crashes that it
 * refutes.
 * @param aState State to change.
 * @param aPart The part.
 * @param aAt When the answer was written.
 * @return What is known of the part's answers; valid until the next call.
 */
Answered&
RecordPartAnswer(State& aState, const SuspectId& aPart, Instant aAt);

/**
 * @brief The verdict that a request falls under; null for none.
 * @param aState State to read.
 * @param aIds The request and the shared parts of its prompt.
 */
[[nodiscard]] const Verdict*
FindVerdict(const State& aState, std::span<const SuspectId> aIds);

} // namespace balsampoint::quarantine::internal
