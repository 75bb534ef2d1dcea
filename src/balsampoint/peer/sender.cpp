#include "balsampoint/peer/sender.hpp"

#include "balsampoint/peer/internal/call_codec.hpp"

#include <utility>

namespace balsampoint::peer {

Sender::Sender(Identity aIdentity)
  : mAuthenticator{ std::move(aIdentity) }
{
  mLoop.Start();
}

Sender::~Sender()
{
  mLoop.Stop();
}

void
Sender::Route(const HostId& aHost, const std::string& aAddress)
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

void
Sender::Send(const HostId& aTo, ModuleTag aModule, ByteView aBody)
{
  std::shared_ptr<Connection> peer;
  {
    const std::lock_guard lock{ mMutex };
    const auto found = mPeers.find(aTo);
    if (found == mPeers.end()) {
      ++mCounters.dropped;
      return;
    }
    peer = found->second;
  }
  auto frame = mAuthenticator.Seal(aTo, aModule, aBody);
  mLoop.Post([peer = std::move(peer), frame = std::move(frame)] {
    peer->Write({ internal::EncodeCall(frame), frame.body.size() });
  });
}

} // namespace balsampoint::peer
