#pragma once

#include "balsampoint/edge/server_connection.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsampoint::edge {

/** @brief Makes connections to backend servers and knows those that are open.
 */
class ServerConnections
{
public:
  /**
   * @brief Starts without connections.
   * @param aContext I/O context of the loop.
   * @param aLimits Limits of each connection.
   */
  ServerConnections(boost::asio::io_context& aContext,
                    ServerConnectionLimits aLimits)
    : mContext{ aContext }
    , mLimits{ aLimits }
  {
  }

  /**
   * @brief Makes a connection that is not established yet.
   * @param aAddress IP address and port of the server.
   * @param aDetour Host that opens the connection; absent for this one.
   */
  [[nodiscard]] std::shared_ptr<ServerConnection> Make(
    const std::string& aAddress,
    std::optional<DetourPath> aDetour = {});

  /** @brief Releases what is kept of connections that have ended. */
  void ForgetEnded();

  /**
   * @brief Whether any connection to a server is established.
   * @param aAddress IP address and port of the server.
   */
  [[nodiscard]] bool IsConnected(const std::string& aAddress) const;

  /**
   * @brief What the connections with a request in progress that this host has
   * opened show of its link.
   * @param aAskKernel Whether to ask for acknowledgements.
   * @return Valid until a connection is made or changes.
   */
  [[nodiscard]] std::vector<reach::ConnectionEvidence> Evidence(
    bool aAskKernel) const;

private:
  boost::asio::io_context& mContext;
  ServerConnectionLimits mLimits;
  /** All connections by server, those that have ended until the next one. */
  std::map<std::string, std::vector<std::weak_ptr<ServerConnection>>> mMade;
};

} // namespace balsampoint::edge
