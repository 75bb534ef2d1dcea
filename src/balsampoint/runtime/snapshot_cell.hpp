#pragma once

#include "balsampoint/core/time.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <utility>

namespace balsampoint::runtime {

/**
 * @brief Publishes immutable values from the control thread to traffic threads.
 *
 * The lock is held for one pointer copy only, never during I/O.
 * @tparam Value Type of the values.
 */
template<typename Value>
class SnapshotCell
{
public:
  /**
   * @brief Replaces the value; readers keep the one they have read.
   * @param aValue The new value.
   */
  void Publish(std::shared_ptr<const Value> aValue)
  {
    {
      const std::lock_guard lock{ mMutex };
      mValue.swap(aValue);
    }
    mChanged.notify_all();
  }

  /** @brief Returns the latest value; null before the first. */
  [[nodiscard]] std::shared_ptr<const Value> Read() const
  {
    const std::lock_guard lock{ mMutex };
    return mValue;
  }

  /**
   * @brief Blocks until the value differs from a known one.
   * @param aKnown The value that the reader has.
   * @param aWait Longest time to block.
   * @return The latest value; still the known one if the time has passed.
   */
  [[nodiscard]] std::shared_ptr<const Value> ReadNext(
    const std::shared_ptr<const Value>& aKnown,
    Duration aWait) const
  {
    std::unique_lock lock{ mMutex };
    mChanged.wait_for(lock, aWait, [&] { return mValue != aKnown; });
    return mValue;
  }

private:
  mutable std::condition_variable mChanged;
  mutable std::mutex mMutex;
  std::shared_ptr<const Value> mValue;
};

} // namespace balsampoint::runtime
