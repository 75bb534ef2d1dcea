#pragma once

#include "balsampoint/limit/state.hpp"

namespace balsampoint::limit::internal {

/**
 * @brief Slots that are a workspace's own while others want theirs.
 * @param aState State to read.
 * @param aWorkspace The workspace.
 * @return Its part by weight of all slots, among the workspaces in use.
 */
[[nodiscard]] double
FairSlots(const State& aState, const WorkspaceState& aWorkspace);

/**
 * @brief How long a request that arrives now would wait.
 * @param aState State to read.
 * @param aWorkspace Its workspace.
 * @return The estimate; zero when it can start at once.
 */
[[nodiscard]] Duration
PredictedWait(const State& aState, const WorkspaceState& aWorkspace);

/**
 * @brief Requests of a workspace that this host may run at a time.
 * @param aState State to read.
 * @param aWorkspace The workspace.
 * @return This host's part of the limit, at least 1; all slots when there is
 * no limit.
 */
[[nodiscard]] std::uint32_t
ConcurrencyShare(const State& aState, const WorkspaceState& aWorkspace);

/**
 * @brief Whether the engines have room for a request's KV.
 *
 * A host's own running requests may be missing from a late report, so they
 * count in full where they are more than what is reported. A single request
 * always has room, and so has any while no engine is known.
 * @param aState State to read.
 * @param aTokens Positions wanted.
 */
[[nodiscard]] bool
HasKvRoom(const State& aState, std::uint64_t aTokens);

} // namespace balsampoint::limit::internal
