#pragma once

#include "balsampoint/core/time.hpp"

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace balsampoint::traffic {

/** @brief Counts the requests in progress up to a limit. */
class ActivityCount
{
public:
  /** @brief Counts one request for its scope, if there is room. */
  class Scope
  {
  public:
    /**
     * @brief Counts a request.
     * @param aCount The counter; outlives the scope.
     * @param aLimit Requests in progress at most.
     */
    Scope(ActivityCount& aCount, std::uint32_t aLimit)
      : mCount{ aCount }
      , mEntered{ aCount.Enter(aLimit) }
    {
    }

    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;
    Scope(Scope&&) = delete;
    Scope& operator=(Scope&&) = delete;

    ~Scope()
    {
      if (mEntered) {
        mCount.Leave();
      }
    }

    /** @brief Whether there was room. */
    [[nodiscard]] bool Entered() const { return mEntered; }

  private:
    ActivityCount& mCount;
    bool mEntered;
  };

  /** @brief Requests in progress. */
  [[nodiscard]] std::uint32_t Current() const
  {
    const std::lock_guard lock{ mMutex };
    return mActive;
  }

  /**
   * @brief Waits until no request is in progress.
   * @param aWait Time to wait at most.
   * @return Whether none is.
   */
  [[nodiscard]] bool WaitUntilIdle(Duration aWait)
  {
    std::unique_lock lock{ mMutex };
    return mIdle.wait_for(lock, aWait, [this] { return mActive == 0; });
  }

private:
  bool Enter(std::uint32_t aLimit)
  {
    const std::lock_guard lock{ mMutex };
    if (mActive >= aLimit) {
      return false;
    }
    ++mActive;
    return true;
  }

  void Leave()
  {
    {
      const std::lock_guard lock{ mMutex };
      --mActive;
    }
    mIdle.notify_all();
  }

  mutable std::mutex mMutex;
  std::condition_variable mIdle;
  std::uint32_t mActive{};
};

} // namespace balsampoint::traffic
