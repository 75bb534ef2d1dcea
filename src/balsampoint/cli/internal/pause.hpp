#pragma once

#include "balsampoint/core/time.hpp"

namespace balsampoint::cli {

/** @brief Waits that an interrupt or a request to end cuts short. */
class Pause
{
public:
  /** @brief Takes SIGINT and SIGTERM for itself from now on. */
  Pause();

  /**
   * @brief Waits.
   * @param aTime How long.
   * @return Whether the time is over; false when the user wants to end.
   */
  [[nodiscard]] bool For(Duration aTime) const;
};

} // namespace balsampoint::cli
