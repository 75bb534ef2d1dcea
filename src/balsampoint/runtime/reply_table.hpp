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
 * @brief Lets traffic threads block until the control thread answers.
 * @tparam Value Type of the answers.
 */
template<typename Value>
class ReplyTable
{
public:
  /** @brief Scope of one pending ticket; removes the ticket on destruction. */
  class Waiter
  {
  public:
    /**
     * @brief Registers a new ticket.
     * @param aTable The table; must outlive the waiter.
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
     * @brief Blocks until the answer arrives.
     * @param aWait Longest time to block.
     * @return The answer, or nothing if the time has passed.
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
   * @brief Delivers an answer; ignored if the ticket is no longer pending.
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
