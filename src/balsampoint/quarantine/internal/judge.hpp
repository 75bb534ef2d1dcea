#pragma once

#include "balsampoint/quarantine/state.hpp"

namespace balsampoint::quarantine::internal {

/**
 * @brief Crashes under a part if they are enough for a verdict, otherwise zero.
 * @param aState State to read.
 * @param aPart The part.
 * @param aSuspect Its crashes.
 */
[[nodiscard]] std::size_t
ConvictingCrashes(const State& aState,
                  const PromptPartId& aPart,
                  const Suspect& aSuspect);

/**
 * @brief Draws the verdicts from the evidence.
 *
 * A crash accuses every part that was in flight at the server. The part with
 * most crashes explains its crashes, so they no longer count against others.
 * @param aState State to change.
 * @param aNow Current time.
 */
void
Judge(State& aState, Instant aNow);

/**
 * @brief Records an answer for a part and drops the crashes that it refutes.
 * @param aState State to change.
 * @param aPart The part.
 * @param aAt When the answer was written.
 * @return What is known of the part's answers; valid until the next call.
 */
Answered&
Clear(State& aState, const PromptPartId& aPart, Instant aAt);

/**
 * @brief The verdict that a request falls under; null for none.
 * @param aState State to read.
 * @param aParts Shared parts of the request's prompt.
 */
[[nodiscard]] const Verdict*
FindVerdict(const State& aState, std::span<const PromptPartId> aParts);

} // namespace balsampoint::quarantine::internal
