#pragma once

#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/edge/connection_probes.hpp"
#include "balsampoint/edge/link_watch.hpp"
#include "balsampoint/edge/room_queue.hpp"
#include "balsampoint/edge/server_connections.hpp"
#include "balsampoint/fleet/state.hpp"
#include "balsampoint/forward/retry_budget.hpp"
#include "balsampoint/limit/shortage.hpp"
#include "balsampoint/net/loop.hpp"
#include "balsampoint/quarantine/state.hpp"
#include "balsampoint/reach/state.hpp"
#include "balsampoint/roster/view.hpp"
#include "balsampoint/routing/table.hpp"
#include "balsampoint/runtime/steady_clock.hpp"
#include "balsampoint/trace/metrics.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace balsampoint::edge {

/** @brief State that all requests of one traffic thread share. */
struct TrafficState
{
  /**
   * @brief Makes the state without a configuration or servers.
   * @param aLoop Loop of the traffic thread; outlives this state.
   * @param aFleet Settings of the choice of servers.
   * @param aServers Limits of the connections to servers.
   * @param aAllowance This host's share of the retries.
   * @param aSeed Seed of the random numbers.
   */
  TrafficState(net::Loop& aLoop,
               fleet::Settings aFleet,
               ServerConnectionLimits aServers,
               forward::RetryAllowance aAllowance,
               std::uint64_t aSeed)
    : loop{ aLoop }
    , connections{ aLoop.Context(), aServers }
    , probes{ aLoop.Context() }
    , reach{ .settings = { .zone = aFleet.zone } }
    , links{ *this }
    , fleet{ .settings = std::move(aFleet) }
    , budget{ aAllowance }
    , quarantine{ .random = SplitMix64{ aSeed } }
    , random{ aSeed }
  {
  }

  /** @brief The current time of the steady clock. */
  [[nodiscard]] static Instant Now() { return runtime::SteadyClock::Now(); }

  /** @brief Callback for a server that no longer accepts connections. */
  using ServerLossObserver = std::function<void(const ServerId&)>;

  /**
   * @brief Notifies every request in progress that a server is lost.
   * @param aServer Server that no longer accepts connections.
   */
  void NotifyServerLost(const ServerId& aServer)
  {
    // An observer may end its request, which removes it from the map: the loop
    // runs over a copy.
    const auto observers = serverLossObservers;
    for (const auto& [request, observer] : observers) {
      observer(aServer);
    }
  }

  /** @brief Notifies every request in progress that a request or a prompt was
   * put into quarantine. */
  void NotifyQuarantine()
  {
    const auto observers = quarantineObservers;
    for (const auto& [request, observer] : observers) {
      observer();
    }
  }

  /** @brief Notifies every request in progress that this host has lost or
   * regained its link to the servers, or that it has come to know others, or
   * none any more, that reach them. */
  void NotifyLink()
  {
    if (linkObserver) {
      linkObserver();
    }
    const auto observers = linkObservers;
    for (const auto& [request, observer] : observers) {
      observer();
    }
  }

  /** @brief Notifies the host that it has more to report of suspects. */
  void NotifySuspects() const
  {
    if (suspectsObserver) {
      suspectsObserver();
    }
  }

  net::Loop& loop;
  ServerConnections connections;
  ConnectionProbes probes;
  reach::State reach;
  LinkWatch links;
  fleet::State fleet;
  forward::RetryBudget budget;
  quarantine::State quarantine;
  SplitMix64 random;
  /** The configuration in force; null before the first. */
  std::shared_ptr<const routing::Table> routes;
  /** The announced servers; null before the first view. */
  std::shared_ptr<const roster::View> servers;
  /** When the announced servers were last set. */
  Instant serversAt{ Instant::min() };
  /** Observers by the address of their exchange. */
  std::map<const void*, ServerLossObserver> serverLossObservers;
  std::map<const void*, std::function<void()>> quarantineObservers;
  std::map<const void*, std::function<void()>> linkObservers;
  /** Called when the link to the servers changes; empty for none. */
  std::function<void()> linkObserver;
  /** Called when there is more to report of suspects; empty for none. */
  std::function<void()> suspectsObserver;
  /** Number of requests in progress. */
  std::uint32_t activeRequests{};
  /** Number of requests in progress above which new ones are refused. */
  std::uint32_t maxActiveRequests{ 1000 };
  /** Whether a planned stop has begun. */
  bool draining{ false };
  trace::Metrics metrics;
  /** Admission to services with several urgencies. */
  limit::Shortage shortage;
  RoomQueue rooms{ loop.Context(), shortage, metrics };
  /** Fill levels by urgency as last logged. */
  std::map<ServiceId, std::map<limit::Urgency, double>> loggedLevels;
};

} // namespace balsampoint::edge
