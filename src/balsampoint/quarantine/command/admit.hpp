#pragma once

#include "balsampoint/quarantine/state.hpp"

#include <optional>

namespace balsampoint::quarantine {

/**
 * @brief Admits a request, unless it falls under a verdict or a server has just
 * crashed under it.
 * @param aState State to change: a refusal keeps the evidence.
 * @param aIds The request and the shared parts of its prompt.
 * @param aNow Current time.
 * @return Nothing if the request is admitted, also as a trial; otherwise the
 * time until the next trial.
 */
[[nodiscard]] std::optional<Duration>
Admit(State& aState, std::span<const SuspectId> aIds, Instant aNow);

} // namespace balsampoint::quarantine
