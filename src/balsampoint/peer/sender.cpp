#include "balsampoint/peer/sender.hpp"

#include "balsampoint/peer/generated/Peer.h"
#include "balsampoint/peer/internal/socket_options.hpp"
#include "balsampoint/runtime/steady_clock.hpp"

#include <Poco/Net/SocketAddress.h>
#include <spdlog/spdlog.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>
#include <utility>

namespace balsampoint::peer {

namespace {

constexpr std::size_t kQueueCapacity = 4096;
constexpr int kConnectTimeoutMs = 300;
constexpr int kSendTimeoutMs = 1000;
/** Time after which a silent connection is made anew. */
constexpr int kSilenceMs = 1000;
constexpr Duration kReconnectPause = std::chrono::milliseconds{ 100 };

/** @brief One connection to a peer, made when the first frame is sent. */
class Connection
{
public:
  explicit Connection(const std::string& aAddress)
  {
    using namespace apache::thrift;
    const Poco::Net::SocketAddress address{ aAddress };
    mSocket = std::make_shared<transport::TSocket>(address.host().toString(),
                                                   address.port());
    const auto& socket = mSocket;
    socket->setConnTimeout(kConnectTimeoutMs);
    socket->setSendTimeout(kSendTimeoutMs);
    socket->setNoDelay(true);
    mTransport = std::make_shared<transport::TFramedTransport>(socket);
    mClient = std::make_unique<generated::PeerClient>(
      std::make_shared<protocol::TCompactProtocol>(mTransport));
  }

  /** @brief Whether the frame was written; a failure closes the connection. */
  bool Deliver(const generated::Frame& aFrame)
  {
    try {
      if (!mTransport->isOpen()) {
        mTransport->open();
        internal::CloseWhenSilent(mSocket->getSocketFD(), kSilenceMs);
      }
      mClient->Deliver(aFrame);
      return true;
    } catch (const apache::thrift::TException& failure) {
      spdlog::debug("peer {}: {}", aFrame.recipient, failure.what());
      mTransport->close();
      return false;
    }
  }

private:
  std::shared_ptr<apache::thrift::transport::TSocket> mSocket;
  std::shared_ptr<apache::thrift::transport::TTransport> mTransport;
  std::unique_ptr<generated::PeerClient> mClient;
};

} // namespace

Sender::Peer::Peer(std::string aAddress)
  : address{ std::move(aAddress) }
  , queue{ kQueueCapacity }
{
}

Sender::Sender(Identity aIdentity)
  : mAuthenticator{ std::move(aIdentity) }
{
}

Sender::~Sender()
{
  for (auto& [host, peer] : mPeers) {
    peer->queue.Close();
  }
  for (auto& [host, peer] : mPeers) {
    Stop(*peer);
  }
}

void
Sender::Route(const HostId& aHost, const std::string& aAddress)
{
  std::unique_ptr<Peer> replaced;
  {
    const std::lock_guard lock{ mMutex };
    auto& peer = mPeers[aHost];
    if (peer && peer->address == aAddress) {
      return;
    }
    replaced = std::exchange(peer, std::make_unique<Peer>(aAddress));
    peer->thread = std::thread{ [this, &entry = *peer] { Serve(entry); } };
  }
  if (replaced) {
    Stop(*replaced);
  }
}

void
Sender::Send(const HostId& aTo, ModuleTag aModule, ByteView aBody)
{
  const auto frame = mAuthenticator.Seal(aTo, aModule, aBody);
  const std::lock_guard lock{ mMutex };
  const auto found = mPeers.find(aTo);
  if (found == mPeers.end() || !found->second->queue.Push(frame)) {
    ++mDropped;
  }
}

void
Sender::Serve(Peer& aPeer)
{
  Connection connection{ aPeer.address };
  Instant retryAt{};
  bool reachable = true;
  aPeer.queue.Consume([&](const generated::Frame& aFrame) {
    if (aPeer.queue.Closed() || runtime::SteadyClock::Now() < retryAt) {
      ++mDropped;
      return;
    }
    if (connection.Deliver(aFrame)) {
      mSentBytes += aFrame.body.size();
      if (!std::exchange(reachable, true)) {
        spdlog::info("peer {} is reached again", aFrame.recipient);
      }
      return;
    }
    if (std::exchange(reachable, false)) {
      spdlog::warn("peer {} can't be reached", aFrame.recipient);
    }
    ++mDropped;
    retryAt = runtime::SteadyClock::Now() + kReconnectPause;
  });
}

void
Sender::Stop(Peer& aPeer)
{
  aPeer.queue.Close();
  aPeer.thread.join();
}

} // namespace balsampoint::peer
