#pragma once

#include "balsampoint/core/time.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <concepts>
#include <exception>
#include <spdlog/spdlog.h>
#include <thread>
#include <utility>

namespace balsampoint::net {

/** @brief A thread with an event loop, on which all its connections run. */
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

  /** @brief Stops the thread. */
  ~Loop() { Stop(); }

  /** @brief Starts the thread. */
  void Start()
  {
    mThread = std::thread{ [this] { Run(); } };
  }

  /** @brief Stops the thread; pending handlers are not run. */
  void Stop()
  {
    mContext.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  /**
   * @brief Queues a function to run on the thread; may be called on any thread.
   * @tparam Function Callable without arguments.
   * @param aFunction The function.
   */
  template<std::invocable Function>
  void Post(Function aFunction)
  {
    boost::asio::post(mContext, std::move(aFunction));
  }

  /** @brief I/O context for the sockets and timers of the thread. */
  [[nodiscard]] boost::asio::io_context& Context() noexcept { return mContext; }

private:
  /** An exception ends the handler that threw it; all others go on. */
  void Run()
  {
    while (!mContext.stopped()) {
      try {
        mContext.run();
      } catch (const std::exception& failure) {
        spdlog::error("event handler failed: {}", failure.what());
      }
    }
  }

  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::thread mThread;
};

/** @brief One-shot timer that calls a function on the loop's thread. */
class Timer
{
public:
  /**
   * @brief Makes a timer that isn't set.
   * @param aContext I/O context of the loop.
   */
  explicit Timer(boost::asio::io_context& aContext)
    : mTimer{ aContext }
  {
  }

  /**
   * @brief Starts the timer, replacing an earlier setting.
   * @tparam Function Callable without arguments.
   * @param aAfter Delay until the call.
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

  /** @brief Cancels the timer. */
  void Clear() { mTimer.cancel(); }

private:
  boost::asio::steady_timer mTimer;
};

} // namespace balsampoint::net
