#pragma once

#include "balsampoint/limit/command/wait_for_room.hpp"
#include "balsampoint/net/loop.hpp"
#include "balsampoint/trace/metrics.hpp"

#include <functional>
#include <map>
#include <span>

namespace balsampoint::edge {

/**
 * @brief Calls the requests that wait for room when one of them should be tried
 * again or is refused. `limit` decides; this holds the callbacks and the timer.
 */
class RoomQueue
{
public:
  /** @brief Calls to one waiting request. */
  struct Callbacks
  {
    /** Searches for room; leaves the queue on success. Not called once the
     * request has left, so its owner may leave when it is destroyed. */
    std::function<void()> tryAgain;
    /** The request has lost its place and must be refused. */
    std::function<void()> giveUp;
  };

  /**
   * @brief Makes an empty queue.
   * @param aContext I/O context of the traffic thread.
   * @param aShortage State that decides; outlives the queue.
   * @param aMetrics Metrics of the host; outlive the queue.
   */
  RoomQueue(boost::asio::io_context& aContext,
            limit::Shortage& aShortage,
            trace::Metrics& aMetrics)
    : mShortage{ aShortage }
    , mMetrics{ aMetrics }
    , mTimer{ aContext }
  {
  }

  /** @brief A ticket that no other request has. */
  [[nodiscard]] Ticket NewTicket() { return mLast = mLast.Next(); }

  /**
   * @brief Lets a request wait, if room is expected in time.
   * @param aService Its service.
   * @param aRequest The request.
   * @param aCallbacks Called later, never before this function returns.
   * @return Whether it waits.
   */
  [[nodiscard]] limit::WaitVerdict Wait(const ServiceId& aService,
                                        const limit::WaitRequest& aRequest,
                                        Callbacks aCallbacks);

  /**
   * @brief Removes a request; unknown ones are ignored.
   * @param aTicket The request.
   */
  void Leave(Ticket aTicket);

  /**
   * @brief Whether a request waits.
   * @param aTicket The request.
   */
  [[nodiscard]] bool Holds(Ticket aTicket) const
  {
    return mCallbacks.contains(aTicket);
  }

  /** @brief Tries waiting requests again soon, as room may have become free. */
  void Notify();

  /**
   * @brief Refuses requests that `limit` has removed.
   * @param aTickets The requests.
   */
  void GiveUp(std::span<const Ticket> aTickets);

private:
  /** Least time between two rounds of searches: a round costs processor time,
   * and several requests often end at once. */
  static constexpr Duration kMinInterval = std::chrono::milliseconds{ 10 };
  /** Longest time between two rounds, as a server may become usable again
   * without any notice. */
  static constexpr Duration kMaxInterval = std::chrono::milliseconds{ 50 };

  void RunRound();
  /** Sets the timer for the next round, if any request waits. */
  void Schedule(Duration aAtMost);
  void CountWaiting();

  limit::Shortage& mShortage;
  trace::Metrics& mMetrics;
  net::Timer mTimer;
  std::map<Ticket, Callbacks> mCallbacks;
  Ticket mLast;
  Instant mLastRound{};
};

} // namespace balsampoint::edge
