#include "balsampoint/limit/internal/share.hpp"

#include <algorithm>

namespace balsampoint::limit::internal {

double
FairSlots(const State& aState, const WorkspaceState& aWorkspace)
{
  double weights = 0.0;
  for (const auto& [id, workspace] : aState.workspaces) {
    const bool inUse = workspace.running > 0 || !workspace.waiting.empty() ||
                       &workspace == &aWorkspace;
    weights += inUse ? workspace.rule.weight : 0.0;
  }
  return aState.settings.slots * aWorkspace.rule.weight / weights;
}

Duration
PredictedWait(const State& aState, const WorkspaceState& aWorkspace)
{
  const bool idle = aState.running.size() < aState.settings.slots;
  if (idle && aWorkspace.waiting.empty()) {
    return Duration::zero();
  }
  const auto slots = std::max(1.0, FairSlots(aState, aWorkspace));
  const auto ahead = static_cast<double>(aWorkspace.waiting.size()) + 1.0;
  return std::chrono::duration_cast<Duration>(aState.meanHoldTime *
                                              (ahead / slots));
}

std::uint32_t
ConcurrencyShare(const State& aState, const WorkspaceState& aWorkspace)
{
  const auto limit = aWorkspace.rule.concurrentRequests;
  if (limit == 0) {
    return aState.settings.slots;
  }
  return std::max(1U, limit / std::max(1U, aState.settings.hosts));
}

bool
HasFreeKv(const State& aState, std::uint64_t aTokens)
{
  if (aTokens == 0 || aState.running.empty() || aState.kvCapacity == 0) {
    return true;
  }
  const auto used = std::max(aState.kvUsed, aState.kvReserved);
  return used + aTokens <= aState.kvCapacity;
}

} // namespace balsampoint::limit::internal
