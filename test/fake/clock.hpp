#pragma once

#include "balsampoint/core/time.hpp"

namespace balsampoint::fake {

/** @brief A clock that moves only when told. */
class Clock
{
public:
  /** @brief The current virtual time. */
  [[nodiscard]] Instant Now() const { return mNow; }

  /**
   * @brief Moves the time on.
   * @param aBy Length of time.
   */
  void Advance(Duration aBy) { mNow += aBy; }

private:
  Instant mNow{};
};

} // namespace balsampoint::fake
