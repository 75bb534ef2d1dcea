#pragma once

#include "balsampoint/quarantine/state.hpp"

namespace balsampoint::quarantine {

/**
 * @brief Adds what the other entry hosts know, and judges again.
 * @param aState State to change.
 * @param aReports Reports of the other hosts.
 * @param aNow Current time.
 */
void
MergeReports(State& aState,
             std::span<const SuspectReport> aReports,
             Instant aNow);

} // namespace balsampoint::quarantine
