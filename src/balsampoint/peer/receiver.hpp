#pragma once

#include "balsampoint/net/loop.hpp"
#include "balsampoint/net/socket.hpp"
#include "balsampoint/peer/authenticator.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace balsampoint::peer {

/** @brief Accepts connections of other daemons and hands on what they send. */
class Receiver
{
public:
  /** @brief Called on the receiver's thread for each accepted message. */
  using Handler = std::function<void(Parcel)>;

  /**
   * @brief Listens from now on.
   * @param aAddress IP number and port.
   * @param aIdentity This host.
   * @param aHandler Takes the messages; must not block.
   * @return The receiver, or `Internal` when the address can't be bound.
   */
  [[nodiscard]] static tl::expected<std::unique_ptr<Receiver>, Error>
  Listen(const std::string& aAddress, Identity aIdentity, Handler aHandler);

  Receiver(const Receiver&) = delete;
  Receiver& operator=(const Receiver&) = delete;
  Receiver(Receiver&&) = delete;
  Receiver& operator=(Receiver&&) = delete;

  /** @brief Closes all connections and joins the thread. */
  ~Receiver();

  /** @brief Frames refused so far: wrong code, cluster, version or size. */
  [[nodiscard]] std::uint64_t Refused() const { return mRefused; }

private:
  class Service;
  class Connection;

  Receiver(Identity aIdentity, Handler aHandler);

  void Accept();
  void Add(net::Tcp::socket aSocket);

  Authenticator mAuthenticator;
  Handler mHandler;
  std::atomic<std::uint64_t> mRefused{ 0 };
  std::shared_ptr<Service> mService;
  net::Loop mLoop;
  net::Tcp::acceptor mAcceptor;
  net::Timer mAcceptRetryTimer;
  /** Open connections; used on the loop's thread. */
  std::set<std::shared_ptr<Connection>> mConnections;
};

} // namespace balsampoint::peer
