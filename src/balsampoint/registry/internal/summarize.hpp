#pragma once

#include "balsampoint/registry/state.hpp"

namespace balsampoint::registry::internal {

/**
 * @brief Summarizes the ready servers of this host's zone by stage and by
 * service.
 * @param aState State to read.
 * @return The summary; its number is not set.
 */
[[nodiscard]] ZoneSummary
Summarize(const State& aState);

/**
 * @brief Hashes the parts of the summary that do not depend on load.
 * @param aState State to read.
 * @return Hash of the stages and services with their numbers of servers.
 */
[[nodiscard]] std::uint64_t
StructureOf(const State& aState);

} // namespace balsampoint::registry::internal
