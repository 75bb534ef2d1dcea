#pragma once

#include "balsampoint/core/time.hpp"

#include <chrono>
#include <concepts>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

namespace balsampoint::runtime {

/**
 * @brief A bounded queue with many producers and one blocking consumer.
 * @tparam Event Type of the entries.
 */
template<typename Event>
class Mailbox
{
public:
  /**
   * @brief Creates an empty queue.
   * @param aCapacity Largest number of entries.
   */
  explicit Mailbox(std::size_t aCapacity)
    : mCapacity{ aCapacity }
  {
  }

  /**
   * @brief Adds an entry unless the queue is full or closed.
   * @param aEvent The entry.
   * @return Whether it was added.
   */
  [[nodiscard]] bool Push(Event aEvent)
  {
    {
      const std::lock_guard lock{ mMutex };
      if (mClosed || mEvents.size() >= mCapacity) {
        return false;
      }
      mEvents.push_back(std::move(aEvent));
    }
    mFilled.notify_one();
    return true;
  }

  /**
   * @brief Removes and returns the oldest entry; blocks while there is none.
   * @param aWait Longest time to block; `Duration::max()` for no limit.
   * @return The entry, or nothing if the time has passed or the queue is closed
   * and empty.
   */
  [[nodiscard]] std::optional<Event> Pop(Duration aWait)
  {
    std::unique_lock lock{ mMutex };
    const auto filled = [this] { return mClosed || !mEvents.empty(); };
    if (aWait == Duration::max()) {
      mFilled.wait(lock, filled);
    } else {
      mFilled.wait_for(lock, aWait, filled);
    }
    if (mEvents.empty()) {
      return std::nullopt;
    }
    std::optional<Event> event{ std::move(mEvents.front()) };
    mEvents.pop_front();
    return event;
  }

  /**
   * @brief Calls a function with each entry until the queue is closed and
   * empty; blocks while there is none.
   * @tparam Consumer Callable with an entry.
   * @param aConsume The function.
   */
  template<std::invocable<Event> Consumer>
  void Consume(Consumer aConsume)
  {
    while (true) {
      auto event = Pop(Duration::max());
      if (!event.has_value()) {
        return;
      }
      std::invoke(aConsume, std::move(*event));
    }
  }

  /** @brief Closes the queue: rejects further entries and wakes the consumer.
   */
  void Close()
  {
    {
      const std::lock_guard lock{ mMutex };
      mClosed = true;
    }
    mFilled.notify_all();
  }

  /** @brief Whether `Close` was called. */
  [[nodiscard]] bool Closed() const
  {
    const std::lock_guard lock{ mMutex };
    return mClosed;
  }

private:
  const std::size_t mCapacity;
  mutable std::mutex mMutex;
  std::condition_variable mFilled;
  std::deque<Event> mEvents;
  bool mClosed{ false };
};

} // namespace balsampoint::runtime
