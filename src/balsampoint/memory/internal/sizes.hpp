#pragma once

#include "balsampoint/memory/state.hpp"

namespace balsampoint::memory::internal {

/** @brief Whether a holder is too large for the reserve. */
[[nodiscard]] inline bool
IsLarge(const State& aState, const Holder& aHolder)
{
  return aHolder.bytes > aState.settings.smallBytes;
}

/** @brief Bytes that all large holders together may hold. */
[[nodiscard]] inline std::uint64_t
LargeBudget(const State& aState)
{
  return aState.settings.budgetBytes - aState.settings.reservedBytes;
}

/** @brief Whether large holders have used up their part of the budget. */
[[nodiscard]] inline bool
IsUnderPressure(const State& aState)
{
  return aState.largeBytes >= LargeBudget(aState);
}

/** @brief Whether a holder is ahead of another one: it holds more, or as much
 * and is older. */
[[nodiscard]] inline bool
IsAhead(HolderId aId,
        const Holder& aHolder,
        HolderId aOtherId,
        const Holder& aOther)
{
  return aHolder.bytes != aOther.bytes ? aHolder.bytes > aOther.bytes
                                       : aId < aOtherId;
}

} // namespace balsampoint::memory::internal
