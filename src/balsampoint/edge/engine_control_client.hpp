#pragma once

#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/server_connections.hpp"
#include "balsampoint/net/loop.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace balsampoint::edge {

/** @brief Response of an engine. */
struct EngineResponse
{
  std::uint16_t status{};
  std::string body;
};

/** @brief Sends orders and report requests to engines, each on a connection of
 * its own. */
class EngineControlClient
{
public:
  /** @brief Receives the response; nothing if the connection failed or the
   * time limit passed. */
  using Callback = std::function<void(std::optional<EngineResponse>)>;

  /**
   * @brief Makes a client without pending calls.
   * @param aLoop Loop of the traffic thread; outlives the client.
   * @param aLimits Limits of each connection.
   */
  EngineControlClient(net::Loop& aLoop, ServerConnectionLimits aLimits)
    : mLoop{ aLoop }
    , mConnections{ aLoop.Context(), aLimits }
  {
  }

  /**
   * @brief Sends a request; may be called on any thread.
   * @param aAddress IP address and port of the engine.
   * @param aRequest The encoded request.
   * @param aLimit Time limit for the whole call, including the connect.
   * @param aCallback Called once, on the traffic thread.
   */
  void Call(std::string aAddress,
            std::string aRequest,
            Duration aLimit,
            Callback aCallback);

private:
  struct Pending;

  void Begin(const std::shared_ptr<Pending>& aPending, Duration aLimit);
  void OnResponse(const std::shared_ptr<Pending>& aPending);
  void End(const std::shared_ptr<Pending>& aPending,
           std::optional<EngineResponse> aResponse);

  net::Loop& mLoop;
  ServerConnections mConnections;
  std::set<std::shared_ptr<Pending>> mPending;
};

} // namespace balsampoint::edge
