#include "balsampoint/quarantine/query/is_quarantined.hpp"

#include "balsampoint/quarantine/internal/judge.hpp"

#include <algorithm>

namespace balsampoint::quarantine {

bool
IsQuarantined(const State& aState, std::span<const PromptPartId> aParts)
{
  return internal::FindVerdict(aState, aParts) != nullptr;
}

bool
IsSuspected(const State& aState, std::span<const PromptPartId> aParts)
{
  return std::ranges::any_of(aParts, [&aState](const PromptPartId& aPart) {
    const auto found = aState.suspects.find(aPart);
    return found != aState.suspects.end() &&
           internal::ConvictingCrashes(aState, aPart, found->second) > 0;
  });
}

} // namespace balsampoint::quarantine
