#include "balsampoint/quarantine/query/is_quarantined.hpp"

#include "balsampoint/quarantine/internal/judge.hpp"

#include <algorithm>

namespace balsampoint::quarantine {

bool
IsQuarantined(const State& aState, std::span<const SuspectId> aIds)
{
  return internal::FindVerdict(aState, aIds) != nullptr;
}

bool
IsSuspected(const State& aState, std::span<const SuspectId> aIds)
{
  return std::ranges::any_of(aIds, [&aState](const SuspectId& aId) {
    const auto found = aState.suspects.find(aId);
    return found != aState.suspects.end() &&
           internal::ConvictingCrashes(aState, aId, found->second) > 0;
  });
}

bool
MayRepeat(const State& aState, std::span<const SuspectId> aIds)
{
  return !IsSuspected(aState, aIds) &&
         std::ranges::none_of(aIds, [&aState](const SuspectId& aId) {
           const auto found = aState.suspects.find(aId);
           return aId.kind == SuspectKind::Request &&
                  found != aState.suspects.end() && found->second.cameAgain &&
                  !internal::IsKnown(aState, aId);
         });
}

bool
IsKnown(const State& aState, std::span<const SuspectId> aIds)
{
  return std::ranges::all_of(aIds, [&aState](const SuspectId& aId) {
    return internal::IsKnown(aState, aId);
  });
}

bool
SeveralCrashed(const State& aState, Instant aNow)
{
  return std::ranges::count_if(aState.crashedServers, [&](const auto& aEntry) {
           return aNow - aEntry.second <= aState.settings.separation;
         }) > 1;
}

} // namespace balsampoint::quarantine
