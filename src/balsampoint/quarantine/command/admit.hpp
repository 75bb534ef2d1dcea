#pragma once

#include "balsampoint/quarantine/state.hpp"

#include <optional>

namespace balsampoint::quarantine {

/**
 * @brief Admits a request, unless it falls under a verdict.
 * @param aState State to change: a refusal keeps the evidence.
 * @param aParts Shared parts of the request's prompt.
 * @param aNow Current time.
 * @return Nothing if the request is admitted, also as a trial; otherwise the
 * time until the next trial.
 */
[[nodiscard]] std::optional<Duration>
Admit(State& aState, std::span<const PromptPartId> aParts, Instant aNow);

} // namespace balsampoint::quarantine
