#pragma once

#include "balsampoint/core/time.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <concepts>
#include <thread>
#include <utility>

namespace balsampoint::edge {

/** @brief One traffic thread: everything on its connections runs there. */
class Loop
{
public:
  Loop()
    : mContext{ 1 }
    , mWork{ boost::asio::make_work_guard(mContext) }
  {
  }

  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  Loop(Loop&&) = delete;
  Loop& operator=(Loop&&) = delete;

  /** @brief Ends the thread at once. */
  ~Loop() { Stop(); }

  /** @brief Starts the thread. */
  void Start()
  {
    mThread = std::thread{ [this] { mContext.run(); } };
  }

  /** @brief Ends the thread; what is under way is dropped. */
  void Stop()
  {
    mContext.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  /**
   * @brief Runs a function on the thread.
   * @tparam Function Callable without arguments.
   * @param aFunction The function.
   */
  template<std::invocable Function>
  void Post(Function aFunction)
  {
    boost::asio::post(mContext, std::move(aFunction));
  }

  /** @brief What sockets and timers of the thread are made with. */
  [[nodiscard]] boost::asio::io_context& Context() noexcept { return mContext; }

private:
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::thread mThread;
};

/** @brief Wakes a function on the loop's thread once. */
class Timer
{
public:
  /**
   * @brief Makes a timer that isn't set.
   * @param aContext Context of the loop.
   */
  explicit Timer(boost::asio::io_context& aContext)
    : mTimer{ aContext }
  {
  }

  /**
   * @brief Sets the timer anew.
   * @tparam Function Callable without arguments.
   * @param aAfter Time until it runs.
   * @param aFunction The function; not called once the timer is set again,
   * cleared or destroyed.
   */
  template<std::invocable Function>
  void Set(Duration aAfter, Function aFunction)
  {
    mTimer.expires_after(aAfter);
    mTimer.async_wait(
      [function = std::move(aFunction)](const auto& aError) mutable {
        if (!aError) {
          function();
        }
      });
  }

  /** @brief Clears the timer. */
  void Clear() { mTimer.cancel(); }

private:
  boost::asio::steady_timer mTimer;
};

} // namespace balsampoint::edge
