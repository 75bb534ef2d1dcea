#include "balsampoint/memory/query/may_grow.hpp"

#include "balsampoint/memory/internal/sizes.hpp"

#include <algorithm>

namespace balsampoint::memory {

namespace {

/** Whether no other holder of the same kind is ahead. */
bool
IsFirstOfKind(const State& aState, HolderId aId, const Holder& aHolder)
{
  return std::ranges::none_of(aState.holders, [&](const auto& aEntry) {
    const auto& [id, other] = aEntry;
    return id != aId && other.work == aHolder.work && !other.ending &&
           internal::IsAhead(id, other, aId, aHolder);
  });
}

} // namespace

bool
MayGrow(const State& aState, HolderId aId)
{
  const auto found = aState.holders.find(aId);
  if (found == aState.holders.end()) {
    return true;
  }
  const auto& holder = found->second;
  return !internal::IsLarge(aState, holder) ||
         !internal::IsUnderPressure(aState) ||
         IsFirstOfKind(aState, aId, holder);
}

std::vector<HolderId>
FindResumable(const State& aState)
{
  std::vector<HolderId> resumable;
  auto held = aState.largeBytes;
  for (const auto& [id, holder] : aState.holders) {
    if (!holder.paused || holder.ending) {
      continue;
    }
    if (held < internal::LargeBudget(aState)) {
      // A string that grows doubles.
      held += holder.bytes;
      resumable.push_back(id);
    } else if (IsFirstOfKind(aState, id, holder)) {
      resumable.push_back(id);
    }
  }
  return resumable;
}

bool
NeedsRelief(const State& aState)
{
  return internal::IsUnderPressure(aState) ||
         aState.heldBytes > aState.settings.budgetBytes ||
         aState.pausedHolders > 0;
}

} // namespace balsampoint::memory
