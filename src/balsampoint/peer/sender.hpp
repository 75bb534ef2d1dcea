#pragma once

#include "balsampoint/peer/authenticator.hpp"
#include "balsampoint/runtime/mailbox.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace balsampoint::peer {

/**
 * @brief Sends messages to other daemons without ever blocking the caller.
 *
 * Each peer has a bounded queue and a thread. A message is dropped when the
 * queue is full, the peer's address is not known, or the connection fails.
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

  /** @brief Drops what is queued and joins the threads. */
  ~Sender();

  /**
   * @brief Says where a host can be reached; later messages go there.
   * @param aHost The host.
   * @param aAddress IP number and port.
   */
  void Route(const HostId& aHost, const std::string& aAddress);

  /**
   * @brief Queues a message.
   * @param aTo The receiving host.
   * @param aModule Module that the body is for.
   * @param aBody Encoded message.
   */
  void Send(const HostId& aTo, ModuleTag aModule, ByteView aBody);

  /** @brief Bytes of message bodies given to connections so far. */
  [[nodiscard]] std::uint64_t SentBytes() const { return mSentBytes; }

  /** @brief Messages dropped so far. */
  [[nodiscard]] std::uint64_t Dropped() const { return mDropped; }

private:
  struct Peer
  {
    explicit Peer(std::string aAddress);

    const std::string address;
    runtime::Mailbox<generated::Frame> queue;
    std::thread thread;
  };

  void Serve(Peer& aPeer);
  static void Stop(Peer& aPeer);

  Authenticator mAuthenticator;
  std::mutex mMutex;
  std::map<HostId, std::unique_ptr<Peer>> mPeers;
  std::atomic<std::uint64_t> mSentBytes{ 0 };
  std::atomic<std::uint64_t> mDropped{ 0 };
};

} // namespace balsampoint::peer
