#pragma once

#include "balsampoint/core/number.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace balsampoint::runtime {

/**
 * @brief Calls back with answers of the control thread, for callers that
 * must not wait.
 *
 * Its tickets differ from those of any `ReplyTable`.
 * @tparam Value Type of the answers.
 */
template<typename Value>
class CallbackTable
{
public:
  /** @brief Takes an answer; called on the control thread. */
  using Callback = std::function<void(Value)>;

  /**
   * @brief Opens a ticket.
   * @param aCallback Called with the answer, once.
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
   * @brief Hands over an answer.
   * @param aTicket The ticket.
   * @param aValue The answer.
   * @return Whether the ticket is of this table.
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
