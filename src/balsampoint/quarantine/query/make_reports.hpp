#pragma once

#include "balsampoint/quarantine/state.hpp"

namespace balsampoint::quarantine {

/**
 * @brief What this host tells the others: its suspects with most crashes.
 * @param aState State to read.
 * @param aNow Current time.
 */
[[nodiscard]] std::vector<SuspectReport>
MakeReports(const State& aState, Instant aNow);

} // namespace balsampoint::quarantine
