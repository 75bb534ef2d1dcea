#pragma once

#include "balsampoint/core/number.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace balsampoint::runtime {

/**
 * @brief Delivers answers of the control thread to callbacks, for callers that
 * must not block.
 *
 * Its tickets start at 2^48, so that they differ from those of a `ReplyTable`.
 * @tparam Value Type of the answers.
 */
template<typename Value>
class CallbackTable
{
public:
  /** @brief Receives an answer; called by the thread that calls `Complete`. */
  using Callback = std::function<void(Value)>;

  /**
   * @brief Registers a callback.
   * @param aCallback Called once, with the answer.
   * @return The ticket to put into the event.
   */
  [[nodiscard]] Ticket Open(Callback aCallback)
  {
    const std::lock_guard lock{ mMutex };
    mLast = mLast.Next();
    mCallbacks.emplace(mLast, std::move(aCallback));
    return mLast;
  }

  /**
   * @brief Calls the callback of a ticket and removes it.
   * @param aTicket The ticket.
   * @param aValue The answer.
   * @return Whether the ticket was pending in this table.
   */
  bool Complete(Ticket aTicket, Value aValue)
  {
    Callback callback;
    {
      const std::lock_guard lock{ mMutex };
      const auto found = mCallbacks.find(aTicket);
      if (found == mCallbacks.end()) {
        return false;
      }
      callback = std::move(found->second);
      mCallbacks.erase(found);
    }
    callback(std::move(aValue));
    return true;
  }

private:
  static constexpr std::uint64_t kFirst = 1ULL << 48;

  std::mutex mMutex;
  std::map<Ticket, Callback> mCallbacks;
  Ticket mLast{ kFirst };
};

} // namespace balsampoint::runtime
