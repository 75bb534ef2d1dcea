#pragma once

#include "balsampoint/retry/state.hpp"

namespace balsampoint::retry {

/** @brief Maximum number of attempts of one call. */
inline constexpr std::uint32_t kMaxAttempts = 3;

/**
 * @brief Whether a call may be retried after an attempt.
 *
 * A non-idempotent call is retried only if no byte of it can have been sent.
 * @param aResult How the attempt ended.
 * @param aAttempts Attempts made, this one included.
 * @param aIdempotent Whether the call may be executed more than once.
 * @return Whether a retry is allowed; the budget and the deadline are checked
 * separately.
 */
[[nodiscard]] constexpr bool
MayRetry(AttemptResult aResult, std::uint32_t aAttempts, bool aIdempotent)
{
  if (aResult == AttemptResult::Answered || aAttempts >= kMaxAttempts) {
    return false;
  }
  return aIdempotent || aResult == AttemptResult::NotSent;
}

} // namespace balsampoint::retry
