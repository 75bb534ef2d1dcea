#include "balsampoint/peer/sender.hpp"

#include "balsampoint/net/loop.hpp"
#include "balsampoint/peer/internal/call_codec.hpp"
#include "balsampoint/peer/internal/peer_connection.hpp"

#include <map>
#include <mutex>
#include <set>
#include <spdlog/spdlog.h>
#include <utility>

namespace balsampoint::peer {

class Sender::Transport
{
public:
  using Connection = internal::PeerConnection;

  Transport() { mLoop.Start(); }

  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;
  Transport(Transport&&) = delete;
  Transport& operator=(Transport&&) = delete;

  ~Transport() { mLoop.Stop(); }

  void Route(const HostId& aHost, const std::string& aAddress)
  {
    const std::lock_guard lock{ mMutex };
    auto& peer = mPeers[aHost];
    if (peer && peer->Address() == aAddress) {
      return;
    }
    if (peer) {
      mLoop.Post([replaced = peer] { replaced->Close(); });
    }
    peer = std::make_shared<Connection>(mLoop, aAddress, mCounters);
  }

  void RouteIfUnknown(const HostId& aHost, const std::string& aAddress)
  {
    const std::lock_guard lock{ mMutex };
    auto& peer = mPeers[aHost];
    if (!peer) {
      peer = std::make_shared<Connection>(mLoop, aAddress, mCounters);
    }
  }

  /** @return The connection to a host; null if its address is not known. */
  std::shared_ptr<Connection> Find(const HostId& aHost)
  {
    const std::lock_guard lock{ mMutex };
    const auto found = mPeers.find(aHost);
    if (found != mPeers.end()) {
      return found->second;
    }
    if (mUnknown.insert(aHost).second) {
      spdlog::warn("messages to host {} are dropped: no address is known",
                   aHost.Value());
    }
    return nullptr;
  }

  void Write(std::shared_ptr<Connection> aPeer, const generated::Frame& aFrame)
  {
    mLoop.Post([peer = std::move(aPeer), frame = aFrame] {
      peer->Write({ internal::EncodeCall(frame), frame.body.size() });
    });
  }

  internal::SenderCounters& Counters() { return mCounters; }

private:
  internal::SenderCounters mCounters;
  /** Outlives the connections, which run on it. */
  net::Loop mLoop;
  std::mutex mMutex;
  std::map<HostId, std::shared_ptr<Connection>> mPeers;
  /** Hosts without an address that messages were meant for. */
  std::set<HostId> mUnknown;
};

Sender::Sender(Identity aIdentity)
  : mAuthenticator{ std::move(aIdentity) }
  , mTransport{ std::make_unique<Transport>() }
{
}

Sender::~Sender() = default;

void
Sender::Route(const HostId& aHost, const std::string& aAddress)
{
  mTransport->Route(aHost, aAddress);
}

void
Sender::RouteIfUnknown(const HostId& aHost, const std::string& aAddress)
{
  mTransport->RouteIfUnknown(aHost, aAddress);
}

void
Sender::Send(const HostId& aTo, ModuleTag aModule, ByteView aBody)
{
  auto peer = mTransport->Find(aTo);
  if (!peer) {
    ++mTransport->Counters().dropped;
    return;
  }
  mTransport->Write(std::move(peer), mAuthenticator.Seal(aTo, aModule, aBody));
}

std::uint64_t
Sender::SentBytes() const
{
  return mTransport->Counters().sentBytes;
}

std::uint64_t
Sender::Dropped() const
{
  return mTransport->Counters().dropped;
}

} // namespace balsampoint::peer
