#pragma once

#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/loop.hpp"
#include "balsampoint/edge/server_pool.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace balsampoint::edge {

/** @brief The whole answer to a call of an engine; nothing if none came. */
struct EngineAnswer
{
  std::uint16_t status{};
  std::string body;
};

/** @brief Makes single calls to engines, each with a time limit. */
class EngineCaller
{
public:
  /** @brief Takes the answer, or nothing when none came in time. */
  using Callback = std::function<void(std::optional<EngineAnswer>)>;

  /**
   * @brief Starts without calls.
   * @param aLoop The thread's loop; outlives the caller.
   * @param aBounds Bounds on each connection.
   */
  EngineCaller(Loop& aLoop, ServerBounds aBounds)
    : mLoop{ aLoop }
    , mPool{ aLoop.Context(), aBounds }
  {
  }

  /**
   * @brief Makes a call; may be used on any thread.
   * @param aAddress IP number and port of the engine.
   * @param aRequest The whole request.
   * @param aLimit Time for the answer.
   * @param aCallback Called once, on the loop's thread.
   */
  void Call(std::string aAddress,
            std::string aRequest,
            Duration aLimit,
            Callback aCallback);

private:
  struct Pending;

  void Begin(const std::shared_ptr<Pending>& aPending, Duration aLimit);
  void End(const std::shared_ptr<Pending>& aPending,
           std::optional<EngineAnswer> aAnswer);

  Loop& mLoop;
  ServerPool mPool;
  std::set<std::shared_ptr<Pending>> mPending;
};

} // namespace balsampoint::edge
