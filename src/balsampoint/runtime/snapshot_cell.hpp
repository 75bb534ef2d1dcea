#pragma once

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
    const std::lock_guard lock{ mMutex };
    mValue.swap(aValue);
  }

  /** @brief The value last published, or null before the first. */
  [[nodiscard]] std::shared_ptr<const Value> Read() const
  {
    const std::lock_guard lock{ mMutex };
    return mValue;
  }

private:
  mutable std::mutex mMutex;
  std::shared_ptr<const Value> mValue;
};

} // namespace balsampoint::runtime
