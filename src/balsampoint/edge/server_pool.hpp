#pragma once

#include "balsampoint/edge/server_connection.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace balsampoint::edge {

/** @brief Connections to backend servers that carry no request now. */
class ServerPool
{
public:
  /**
   * @brief Starts empty.
   * @param aContext Context of the loop.
   * @param aBounds Bounds on each connection.
   */
  ServerPool(boost::asio::io_context& aContext, ServerBounds aBounds)
    : mContext{ aContext }
    , mBounds{ aBounds }
  {
  }

  /**
   * @brief Takes a kept connection.
   * @param aAddress Address of the server.
   * @return The connection; null if none is kept.
   */
  [[nodiscard]] std::shared_ptr<ServerConnection> TakeKept(
    const std::string& aAddress);

  /**
   * @brief Makes a connection that isn't established yet.
   * @param aAddress Address of the server.
   */
  [[nodiscard]] std::shared_ptr<ServerConnection> Make(
    const std::string& aAddress);

  /**
   * @brief Keeps a connection whose answer is complete, or closes it.
   * @param aConnection The connection.
   */
  void GiveBack(const std::shared_ptr<ServerConnection>& aConnection);

  /** @brief Closes connections that were kept for long enough. */
  void CloseOld();

  /** @brief Connections kept now. */
  [[nodiscard]] std::size_t Kept() const;

private:
  using Connections = std::vector<std::shared_ptr<ServerConnection>>;

  static bool IsOld(const ServerConnection& aConnection);

  boost::asio::io_context& mContext;
  ServerBounds mBounds;
  std::map<std::string, Connections, std::less<>> mKept;
};

} // namespace balsampoint::edge
