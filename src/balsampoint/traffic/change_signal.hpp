#pragma once

#include "balsampoint/core/time.hpp"

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace balsampoint::traffic {

/** @brief Wakes one thread when something changed, until it is closed. */
class ChangeSignal
{
public:
  /** @brief Tells of a change. */
  void Notify()
  {
    {
      const std::lock_guard lock{ mMutex };
      ++mChanges;
    }
    mWake.notify_all();
  }

  /** @brief Ends all waits, now and later. */
  void Close()
  {
    {
      const std::lock_guard lock{ mMutex };
      mClosed = true;
    }
    mWake.notify_all();
  }

  /**
   * @brief Waits for a change after the known ones.
   * @param aKnown Number of changes known; updated.
   * @return Whether there was one; false when the signal is closed.
   */
  [[nodiscard]] bool Wait(std::uint64_t& aKnown)
  {
    std::unique_lock lock{ mMutex };
    mWake.wait(lock, [&] { return mClosed || mChanges != aKnown; });
    aKnown = mChanges;
    return !mClosed;
  }

  /**
   * @brief Lets changes gather.
   * @param aTime How long, unless the signal is closed.
   * @return Whether it is still open.
   */
  [[nodiscard]] bool Pause(Duration aTime)
  {
    std::unique_lock lock{ mMutex };
    return !mWake.wait_for(lock, aTime, [this] { return mClosed; });
  }

private:
  std::mutex mMutex;
  std::condition_variable mWake;
  std::uint64_t mChanges{};
  bool mClosed{ false };
};

} // namespace balsampoint::traffic
