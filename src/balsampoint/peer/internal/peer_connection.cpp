#include "balsampoint/peer/internal/peer_connection.hpp"

#include "balsampoint/peer/internal/socket_options.hpp"
#include "balsampoint/runtime/steady_clock.hpp"

#include <boost/asio/buffer.hpp>
#include <spdlog/spdlog.h>
#include <utility>

namespace balsampoint::peer::internal {

namespace {

constexpr std::size_t kQueueCapacity = 4096;
/** Bytes of waiting calls that are written together. */
constexpr std::size_t kMaxWriteBytes = std::size_t{ 256 } * 1024;
constexpr Duration kConnectTimeout = std::chrono::milliseconds{ 300 };
constexpr Duration kWriteTimeout = std::chrono::milliseconds{ 1000 };
/** Time after which a silent connection is made anew. */
constexpr int kSilenceMs = 1000;
constexpr Duration kReconnectPause = std::chrono::milliseconds{ 100 };

} // namespace

PeerConnection::PeerConnection(net::Loop& aLoop,
                               std::string aAddress,
                               SenderCounters& aCounters)
  : mAddress{ std::move(aAddress) }
  , mCounters{ aCounters }
  , mSocket{ aLoop.Context() }
  , mConnectTimer{ aLoop.Context() }
{
}

template<typename Function>
auto
PeerConnection::Guard(Function aFunction)
{
  return
    [this,
     self = shared_from_this(),
     generation = mGeneration,
     function = std::move(aFunction)](const auto& aError, auto... aResult) {
      if (generation != mGeneration) {
        return;
      }
      if (aError) {
        Fail(aError.message());
        return;
      }
      function(aResult...);
    };
}

void
PeerConnection::Write(OutgoingCall aCall)
{
  const bool refused =
    mPhase == Phase::Closed || mWaiting.size() >= kQueueCapacity ||
    (mPhase == Phase::Idle && runtime::SteadyClock::Now() < mRetryAt);
  if (refused) {
    ++mCounters.dropped;
    return;
  }
  // A timer for each write would cost more than the write.
  if (!mWriting.empty() &&
      runtime::SteadyClock::Now() - mWriteStartedAt > kWriteTimeout) {
    Fail("no write in time");
  }
  mWaiting.push_back(std::move(aCall));
  if (mPhase == Phase::Idle) {
    Connect();
  } else if (mPhase == Phase::Open && mWriting.empty()) {
    WriteWaiting();
  }
}

void
PeerConnection::Close()
{
  Reset();
  DropWaiting();
  mPhase = Phase::Closed;
}

void
PeerConnection::Connect()
{
  const auto endpoint = net::ParseAddress(mAddress);
  if (!endpoint) {
    Fail(endpoint.error().detail);
    return;
  }
  mPhase = Phase::Connecting;
  mConnectTimer.Set(kConnectTimeout, [this] { Fail("no connection in time"); });
  mSocket.async_connect(*endpoint, Guard([this] { OnConnected(); }));
}

void
PeerConnection::OnConnected()
{
  mConnectTimer.Clear();
  mPhase = Phase::Open;
  boost::system::error_code ignored;
  mSocket.set_option(net::Tcp::no_delay{ true }, ignored);
  CloseWhenSilent(mSocket.native_handle(), kSilenceMs);
  AwaitEnd();
  WriteWaiting();
}

void
PeerConnection::WriteWaiting()
{
  mWriting.clear();
  mCallsInWriting = 0;
  mBodyBytesInWriting = 0;
  while (!mWaiting.empty() &&
         (mWriting.empty() ||
          mWriting.size() + mWaiting.front().bytes.size() <= kMaxWriteBytes)) {
    mWriting += mWaiting.front().bytes;
    mBodyBytesInWriting += mWaiting.front().bodyBytes;
    ++mCallsInWriting;
    mWaiting.pop_front();
  }
  if (mWriting.empty()) {
    return;
  }
  mWriteStartedAt = runtime::SteadyClock::Now();
  mWritten = 0;
  WriteRest();
}

void
PeerConnection::WriteRest()
{
  mSocket.async_write_some(
    boost::asio::buffer(mWriting) + mWritten, Guard([this](std::size_t aSize) {
      mWritten += aSize;
      if (mWritten < mWriting.size()) {
        WriteRest();
        return;
      }
      mCounters.sentBytes += mBodyBytesInWriting;
      if (!std::exchange(mReachable, true)) {
        spdlog::info("peer {} is reached again", mAddress);
      }
      WriteWaiting();
    }));
}

/** Peers send nothing on this connection, so that a read only completes when it
 * ends. */
void
PeerConnection::AwaitEnd()
{
  mSocket.async_read_some(boost::asio::buffer(mUnexpected),
                          Guard([this](std::size_t /*aSize*/) {
                            Fail("the peer sent bytes on a one-way connection");
                          }));
}

void
PeerConnection::Fail(const std::string& aReason)
{
  spdlog::debug("peer {}: {}", mAddress, aReason);
  const bool lost =
    !mWaiting.empty() || mCallsInWriting > 0 || mPhase == Phase::Connecting;
  Reset();
  DropWaiting();
  if (lost && std::exchange(mReachable, false)) {
    spdlog::warn("peer {} can't be reached", mAddress);
  }
  mPhase = Phase::Idle;
  mRetryAt =
    lost ? runtime::SteadyClock::Now() + kReconnectPause : Instant::min();
}

void
PeerConnection::Reset()
{
  ++mGeneration;
  mConnectTimer.Clear();
  boost::system::error_code ignored;
  mSocket.close(ignored);
}

void
PeerConnection::DropWaiting()
{
  mCounters.dropped += mWaiting.size() + mCallsInWriting;
  mWaiting.clear();
  mWriting.clear();
  mCallsInWriting = 0;
}

} // namespace balsampoint::peer::internal
