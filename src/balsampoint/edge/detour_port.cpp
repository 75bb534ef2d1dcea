#include "balsampoint/edge/detour_port.hpp"

#include "balsampoint/edge/detour_token.hpp"
#include "balsampoint/reach/query/check_due.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace balsampoint::edge {

namespace {

constexpr int kBacklog = 256;
/** Delay before the next accept after one has failed. */
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds{ 20 };

} // namespace

DetourPort::DetourPort(TrafficState& aTraffic,
                       std::string aSecret,
                       std::size_t aMaxConnections,
                       MemoryAccount* aMemory)
  : mTraffic{ aTraffic }
  , mSecret{ std::move(aSecret) }
  , mMaxConnections{ aMaxConnections }
  , mMemory{ aMemory }
  , mAcceptor{ aTraffic.loop.Context() }
  , mAcceptRetryTimer{ aTraffic.loop.Context() }
{
}

tl::expected<void, Error>
DetourPort::Listen(const std::string& aAddress)
{
  return net::Listen(mAcceptor, aAddress, kBacklog).map([this] {
    if (mMemory != nullptr) {
      net::LimitBuffers(mAcceptor, mMemory->SocketBytes());
    }
    Accept();
  });
}

void
DetourPort::Accept()
{
  mAcceptor.async_accept([this](const auto& aError, net::Tcp::socket aSocket) {
    if (aError == boost::asio::error::operation_aborted ||
        !mAcceptor.is_open()) {
      return;
    }
    if (aError) {
      spdlog::warn("accepting a connection of a host failed: {}",
                   aError.message());
      mAcceptRetryTimer.Set(kAcceptRetryDelay, [this] { Accept(); });
      return;
    }
    if (mConnections.size() >= 2 * mMaxConnections) {
      net::ResetConnection(aSocket);
      Accept();
      return;
    }
    auto connection = std::make_shared<DetourConnection>(
      *this, mTraffic.loop.Context(), std::move(aSocket));
    mConnections.insert(connection);
    connection->Start();
    Accept();
  });
}

void
DetourPort::Drain()
{
  const auto connections = mConnections;
  for (const auto& connection : connections) {
    connection->CloseIfQuiet();
  }
}

bool
DetourPort::IsAvailable() const
{
  return mAcceptor.is_open() && !mTraffic.draining &&
         mConnections.size() < mMaxConnections &&
         reach::ReachesServers(mTraffic.reach, TrafficState::Now());
}

DetourStatus
DetourPort::Admit(const DetourRequest& aRequest) const
{
  if (!IsSameToken(aRequest.token, DetourToken(mSecret, aRequest.server))) {
    return DetourStatus::Unauthorized;
  }
  // The connection that asks is counted already. A link that was up a moment
  // ago is tried: the answer says what came of it.
  if (mTraffic.draining || mConnections.size() > mMaxConnections ||
      mTraffic.reach.link == reach::Link::Down) {
    return DetourStatus::Unavailable;
  }
  return IsAnnounced(aRequest.server) ? DetourStatus::Open
                                      : DetourStatus::UnknownServer;
}

bool
DetourPort::IsAnnounced(std::string_view aServer) const
{
  return mTraffic.servers &&
         std::ranges::any_of(mTraffic.servers->servers,
                             [&](const roster::Server& aOne) {
                               return aOne.claim.description.address == aServer;
                             });
}

void
DetourPort::AskWhyFailed(std::function<void(DetourStatus)> aCallback)
{
  mTraffic.links.Check([callback = std::move(aCallback)](bool aReached) {
    callback(aReached ? DetourStatus::ServerUnreachable
                      : DetourStatus::Unavailable);
  });
}

void
DetourPort::OnClosed(const std::shared_ptr<DetourConnection>& aConnection)
{
  mConnections.erase(aConnection);
}

} // namespace balsampoint::edge
