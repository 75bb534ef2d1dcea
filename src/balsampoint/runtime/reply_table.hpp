#pragma once

#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace balsampoint::runtime {

/**
 * @brief Lets traffic threads wait for answers of the control thread.
 * @tparam Value Type of the answers.
 */
template<typename Value>
class ReplyTable
{
public:
  /** @brief Removes an unanswered ticket when its waiter leaves. */
  class Waiter
  {
  public:
    /**
     * @brief Opens a ticket.
     * @param aTable Table that outlives the waiter.
     */
    explicit Waiter(ReplyTable& aTable)
      : mTable{ aTable }
      , mTicket{ aTable.Open() }
    {
    }

    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;
    Waiter(Waiter&&) = delete;
    Waiter& operator=(Waiter&&) = delete;

    ~Waiter() { mTable.Close(mTicket); }

    /** @brief The ticket to put into the event. */
    [[nodiscard]] Ticket Number() const { return mTicket; }

    /**
     * @brief Blocks until the answer is there.
     * @param aWait Time to wait at most.
     * @return The answer, or nothing when the time is over.
     */
    [[nodiscard]] std::optional<Value> Wait(Duration aWait)
    {
      return mTable.Wait(mTicket, aWait);
    }

  private:
    ReplyTable& mTable;
    Ticket mTicket;
  };

  /**
   * @brief Hands over an answer; without effect when nobody waits any more.
   * @param aTicket Ticket of the waiter.
   * @param aValue The answer.
   */
  void Complete(Ticket aTicket, Value aValue)
  {
    {
      const std::lock_guard lock{ mMutex };
      const auto found = mSlots.find(aTicket);
      if (found == mSlots.end()) {
        return;
      }
      found->second = std::move(aValue);
    }
    mAnswered.notify_all();
  }

private:
  Ticket Open()
  {
    const std::lock_guard lock{ mMutex };
    mLast = mLast.Next();
    mSlots.emplace(mLast, std::nullopt);
    return mLast;
  }

  void Close(Ticket aTicket)
  {
    const std::lock_guard lock{ mMutex };
    mSlots.erase(aTicket);
  }

  std::optional<Value> Wait(Ticket aTicket, Duration aWait)
  {
    std::unique_lock lock{ mMutex };
    auto& slot = mSlots.at(aTicket);
    mAnswered.wait_for(lock, aWait, [&slot] { return slot.has_value(); });
    return std::exchange(slot, std::nullopt);
  }

  std::mutex mMutex;
  std::condition_variable mAnswered;
  std::map<Ticket, std::optional<Value>> mSlots;
  Ticket mLast;
};

} // namespace balsampoint::runtime
