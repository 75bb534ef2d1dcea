#pragma once

#include "balsampoint/registry/state.hpp"

namespace balsampoint::registry::internal {

/**
 * @brief Sums up the own zone's ready servers by stage and by service.
 * @param aState The registry.
 * @return The summary, without a number.
 */
[[nodiscard]] ZoneSummary
Summarize(const State& aState);

/**
 * @brief Tells two summaries apart that differ in more than load.
 * @param aState The registry.
 * @return A number that changes with the stages, services and their sizes.
 */
[[nodiscard]] std::uint64_t
StructureOf(const State& aState);

} // namespace balsampoint::registry::internal
