#pragma once

#include "balsampoint/peer/authenticator.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace balsampoint::peer {

/**
 * @brief Sends messages to other daemons without ever blocking the caller.
 *
 * One thread serves the connections to all peers; each has a bounded queue. A
 * message is dropped when the queue is full, the peer's address is not known,
 * or the connection fails.
 */
class Sender
{
public:
  /**
   * @brief Starts without peers.
   * @param aIdentity This host.
   */
  explicit Sender(Identity aIdentity);

  Sender(const Sender&) = delete;
  Sender& operator=(const Sender&) = delete;
  Sender(Sender&&) = delete;
  Sender& operator=(Sender&&) = delete;

  /** @brief Drops what is queued and joins the thread. */
  ~Sender();

  /**
   * @brief Says where a host can be reached; later messages go there.
   * @param aHost The host.
   * @param aAddress IP number and port.
   */
  void Route(const HostId& aHost, const std::string& aAddress);

  /**
   * @brief Says where a host can probably be reached; ignored if its address is
   * known.
   * @param aHost The host.
   * @param aAddress IP number and port.
   */
  void RouteIfUnknown(const HostId& aHost, const std::string& aAddress);

  /**
   * @brief Queues a message.
   * @param aTo The receiving host.
   * @param aModule Module that the body is for.
   * @param aBody Encoded message.
   */
  void Send(const HostId& aTo, ModuleTag aModule, ByteView aBody);

  /** @brief Bytes of message bodies given to connections so far. */
  [[nodiscard]] std::uint64_t SentBytes() const;

  /** @brief Messages dropped so far. */
  [[nodiscard]] std::uint64_t Dropped() const;

private:
  /** @brief The connections and their thread; hides the event loop's headers
   * from the many files that only send. */
  class Transport;

  Authenticator mAuthenticator;
  std::unique_ptr<Transport> mTransport;
};

} // namespace balsampoint::peer
