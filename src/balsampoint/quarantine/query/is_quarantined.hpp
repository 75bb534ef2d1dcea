#pragma once

#include "balsampoint/quarantine/state.hpp"

namespace balsampoint::quarantine {

/**
 * @brief Whether a request falls under a verdict.
 * @param aState State to read.
 * @param aParts Shared parts of the request's prompt.
 */
[[nodiscard]] bool
IsQuarantined(const State& aState, std::span<const PromptPartId> aParts);

/**
 * @brief Whether a request has a part with enough crashes for a verdict, before
 * it is known which part explains them.
 * @param aState State to read.
 * @param aParts Shared parts of the request's prompt.
 */
[[nodiscard]] bool
IsSuspected(const State& aState, std::span<const PromptPartId> aParts);

} // namespace balsampoint::quarantine
