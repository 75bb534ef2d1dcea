#pragma once

#include "balsampoint/edge/server_connection.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsampoint::edge {

/** @brief Pool of idle connections to backend servers. */
class ServerPool
{
public:
  /**
   * @brief Makes an empty pool.
   * @param aContext I/O context of the loop.
   * @param aLimits Limits of each connection.
   */
  ServerPool(boost::asio::io_context& aContext, ServerConnectionLimits aLimits)
    : mContext{ aContext }
    , mLimits{ aLimits }
  {
  }

  /**
   * @brief Removes an idle connection from the pool.
   * @param aAddress IP address and port of the server.
   * @param aRequest Id of the request to send on it.
   * @return An open connection that has carried no request with this id; null
   * if there is none.
   */
  [[nodiscard]] std::shared_ptr<ServerConnection> TakeIdle(
    const std::string& aAddress,
    const RequestId& aRequest);

  /**
   * @brief Makes a connection that is not established yet.
   * @param aAddress IP address and port of the server.
   * @param aDetour Host that opens the connection; absent for this one.
   */
  [[nodiscard]] std::shared_ptr<ServerConnection> Make(
    const std::string& aAddress,
    std::optional<DetourPath> aDetour = {});

  /**
   * @brief Returns a connection to the pool, or closes it if it can't be reused
   * or the pool has enough connections to its server.
   * @param aConnection Connection without a request in progress.
   */
  void Return(const std::shared_ptr<ServerConnection>& aConnection);

  /**
   * @brief Closes the idle connections to a server.
   * @param aAddress IP address and port of the server.
   */
  void CloseIdle(const std::string& aAddress);

  /**
   * @brief Keeps only one kind of connections from now on, and closes the idle
   * ones of the other kind.
   * @param aDetours Whether to keep those that other hosts have opened; false
   * for those that this host has opened.
   */
  void KeepDetours(bool aDetours);

  /** @brief Closes the connections whose idle timeout has passed. */
  void CloseExpired();

  /**
   * @brief Whether any connection to a server is established, idle or in use.
   * @param aAddress IP address and port of the server.
   */
  [[nodiscard]] bool IsConnected(const std::string& aAddress) const;

  /**
   * @brief What the connections with a request in progress that this host has
   * opened show of its link.
   * @param aAskKernel Whether to ask for acknowledgements.
   * @return Valid until the pool or a connection changes.
   */
  [[nodiscard]] std::vector<reach::ConnectionEvidence> Evidence(
    bool aAskKernel) const;

  /** @brief Number of idle connections. */
  [[nodiscard]] std::size_t IdleCount() const;

private:
  using Connections = std::vector<std::shared_ptr<ServerConnection>>;

  static bool IsExpired(const ServerConnection& aConnection);
  /** Closes the connections that have ended or whose idle timeout has passed.
   */
  static void CloseExpired(Connections& aIdle);

  boost::asio::io_context& mContext;
  ServerConnectionLimits mLimits;
  std::map<std::string, Connections, std::less<>> mIdle;
  /** Whether connections that other hosts have opened are kept, not those of
   * this host. */
  bool mKeepsDetours{ false };
  /** All connections by server, those that have ended until the next one. */
  std::map<std::string, std::vector<std::weak_ptr<ServerConnection>>> mMade;
};

} // namespace balsampoint::edge
