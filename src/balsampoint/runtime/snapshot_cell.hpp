#pragma once

#include "balsampoint/core/time.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <utility>

namespace balsampoint::runtime {

/**
 * @brief Hands immutable values from the control thread to traffic threads.
 *
 * The lock covers one pointer copy and no I/O.
 * @tparam Value Type of the values.
 */
template<typename Value>
class SnapshotCell
{
public:
  /**
   * @brief Replaces the value; readers keep what they already hold.
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

  /** @brief The value last published, or null before the first. */
  [[nodiscard]] std::shared_ptr<const Value> Read() const
  {
    const std::lock_guard lock{ mMutex };
    return mValue;
  }

  /**
   * @brief Waits until the value is another one.
   * @param aKnown The value that the reader already holds.
   * @param aWait Time to wait at most.
   * @return The value, which is still the known one when the time is over.
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
