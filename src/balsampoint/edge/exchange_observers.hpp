#pragma once

#include "balsampoint/edge/traffic_state.hpp"

#include <functional>
#include <memory>
#include <utility>

namespace balsampoint::edge {

/** @brief Registers one request for what concerns all requests in progress, and
 * counts it as one of them, as long as it exists. */
class ExchangeObservers
{
public:
  /**
   * @brief Counts the request; nothing is observed yet.
   * @param aTraffic State of the traffic thread; outlives the request.
   */
  explicit ExchangeObservers(TrafficState& aTraffic)
    : mTraffic{ aTraffic }
  {
    ++mTraffic.activeRequests;
  }

  ExchangeObservers(const ExchangeObservers&) = delete;
  ExchangeObservers& operator=(const ExchangeObservers&) = delete;
  ExchangeObservers(ExchangeObservers&&) = delete;
  ExchangeObservers& operator=(ExchangeObservers&&) = delete;

  ~ExchangeObservers()
  {
    mTraffic.serverLossObservers.erase(this);
    mTraffic.quarantineObservers.erase(this);
    mTraffic.linkObservers.erase(this);
    --mTraffic.activeRequests;
  }

  /**
   * @brief Starts to observe.
   * @param aOnServerLost Called for a server that accepts no connections.
   * @param aOnQuarantine Called for a new quarantine.
   * @param aOnLink Called when the link to the servers has changed.
   */
  void Observe(TrafficState::ServerLossObserver aOnServerLost,
               std::function<void()> aOnQuarantine,
               std::function<void()> aOnLink)
  {
    mTraffic.serverLossObservers[this] = std::move(aOnServerLost);
    mTraffic.quarantineObservers[this] = std::move(aOnQuarantine);
    mTraffic.linkObservers[this] = std::move(aOnLink);
  }

private:
  TrafficState& mTraffic;
};

} // namespace balsampoint::edge
