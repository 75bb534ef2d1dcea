#pragma once

#include "balsampoint/config/settings.hpp"
#include "balsampoint/daemon/control.hpp"
#include "balsampoint/daemon/first_state.hpp"
#include "balsampoint/daemon/parcel_router.hpp"
#include "balsampoint/daemon/runners.hpp"
#include "balsampoint/http/caller_handler.hpp"
#include "balsampoint/http/client_pool.hpp"
#include "balsampoint/http/listener.hpp"
#include "balsampoint/http/operator_handler.hpp"
#include "balsampoint/http/server_handler.hpp"
#include "balsampoint/peer/receiver.hpp"
#include "balsampoint/peer/sender.hpp"
#include "balsampoint/traffic/route_planner.hpp"
#include "balsampoint/traffic/world.hpp"

#include <memory>
#include <thread>

namespace balsampoint::daemon {

/** @brief One host of the system: its control thread and its listeners. */
class Node
{
public:
  /**
   * @brief Starts a host.
   * @param aSettings The host's settings.
   * @return The running host, or why it can't start.
   */
  [[nodiscard]] static tl::expected<std::unique_ptr<Node>, Error> Start(
    const config::Settings& aSettings);

  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  Node(Node&&) = delete;
  Node& operator=(Node&&) = delete;

  /** @brief Stops at once; `Drain` first for a planned stop. */
  ~Node();

  /**
   * @brief Puts a configuration in force on this host.
   * @param aDocument The configuration.
   */
  void Configure(config::Document aDocument);

  /**
   * @brief Refuses new work and waits for work in progress.
   * @return Whether all work was finished within the settings' limit.
   */
  bool Drain();

private:
  using CallerListener = http::BasicListener<http::CallerHandler>;
  using ServerListener = http::BasicListener<http::ServerHandler>;
  using OperatorListener = http::BasicListener<http::OperatorHandler>;

  Node(const config::Settings& aSettings,
       const peer::Identity& aIdentity,
       FirstState aFirst);
  tl::expected<void, Error> ReadAndConfigure(const fanout::Content& aContent);
  tl::expected<void, Error> Listen();
  [[nodiscard]] http::Operations MakeOperations();

  config::Settings mSettings;
  peer::Identity mIdentity;
  traffic::World mWorld;
  trace::Telemetry mTelemetry;
  http::ClientPool mBackends;
  ControlMailbox mMailbox;
  traffic::ControlGate mGate;
  peer::Sender mSender;
  ParcelRouter mRouter;
  Runners mRunners;
  Control::Loop<Runners> mLoop;
  std::thread mControlThread;
  http::CallerHandler mCallerHandler;
  http::ServerHandler mServerHandler;
  std::unique_ptr<traffic::RoutePlanner> mPlanner;
  http::OperatorHandler mOperatorHandler;
  std::unique_ptr<peer::Receiver> mReceiver;
  std::unique_ptr<CallerListener> mCallers;
  std::unique_ptr<ServerListener> mServers;
  std::unique_ptr<OperatorListener> mOperators;
};

} // namespace balsampoint::daemon
