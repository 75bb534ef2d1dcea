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

std::size_t
CountPaused(const State& aState)
{
  return static_cast<std::size_t>(std::ranges::count_if(
    aState.holders, [](const auto& aEntry) { return aEntry.second.paused; }));
}

bool
NeedsRelief(const State& aState)
{
  return internal::IsUnderPressure(aState) ||
         aState.heldBytes > aState.settings.budgetBytes ||
         CountPaused(aState) > 0;
}

} // namespace balsampoint::memory
