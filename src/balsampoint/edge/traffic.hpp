#pragma once

#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/edge/loop.hpp"
#include "balsampoint/edge/server_pool.hpp"
#include "balsampoint/fleet/state.hpp"
#include "balsampoint/forward/retry_budget.hpp"
#include "balsampoint/roster/view.hpp"
#include "balsampoint/routing/table.hpp"
#include "balsampoint/runtime/steady_clock.hpp"
#include "balsampoint/trace/metrics.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace balsampoint::edge {

/** @brief What all requests of one traffic thread share. */
struct Traffic
{
  /**
   * @brief Starts without a configuration and servers.
   * @param aLoop The thread's loop; outlives this.
   * @param aFleet Weights of the choice of servers.
   * @param aServers Bounds on connections to servers.
   * @param aAllowance This host's part of the retries.
   * @param aSeed Starts the sequence of random numbers.
   */
  Traffic(Loop& aLoop,
          fleet::Settings aFleet,
          ServerBounds aServers,
          forward::RetryAllowance aAllowance,
          std::uint64_t aSeed)
    : loop{ aLoop }
    , pool{ aLoop.Context(), aServers }
    , fleet{ .settings = std::move(aFleet) }
    , budget{ aAllowance }
    , random{ aSeed }
  {
  }

  /** @brief The time. */
  [[nodiscard]] static Instant Now() { return runtime::SteadyClock::Now(); }

  /** @brief Told that a server is lost. */
  using LossObserver = std::function<void(const ServerId&)>;

  /**
   * @brief Tells every request in progress that a server is lost.
   * @param aServer The server.
   */
  void TellLost(const ServerId& aServer)
  {
    // An observer may end its request, which removes it from the map.
    const auto observers = lossObservers;
    for (const auto& [request, observer] : observers) {
      observer(aServer);
    }
  }

  Loop& loop;
  ServerPool pool;
  fleet::State fleet;
  forward::RetryBudget budget;
  SplitMix64 random;
  /** The configuration in force; null before the first. */
  std::shared_ptr<const routing::Table> routes;
  std::shared_ptr<const roster::View> servers;
  /** By the address of the request in progress. */
  std::map<const void*, LossObserver> lossObservers;
  /** Requests in progress. */
  std::uint32_t active{};
  std::uint32_t maxActive{ 1000 };
  /** Set by a planned stop. */
  bool draining{ false };
  trace::Metrics metrics;
};

} // namespace balsampoint::edge
