#pragma once

#include "balsampoint/retry/state.hpp"

namespace balsampoint::retry {

/** @brief Attempts of one call at most. */
inline constexpr std::uint32_t kMaxAttempts = 3;

/**
 * @brief Whether a call may be tried on another server after an attempt.
 *
 * A non-idempotent call is tried again only when no byte of it can have left.
 * @param aResult How the attempt ended.
 * @param aAttempts Attempts made, this one included.
 * @param aIdempotent Whether the call may run twice.
 * @return Whether the rules allow it; budget and deadline come on top.
 */
[[nodiscard]] constexpr bool
MayRepeat(AttemptResult aResult, std::uint32_t aAttempts, bool aIdempotent)
{
  if (aResult == AttemptResult::Answered || aAttempts >= kMaxAttempts) {
    return false;
  }
  return aIdempotent || aResult == AttemptResult::NotSent;
}

} // namespace balsampoint::retry
