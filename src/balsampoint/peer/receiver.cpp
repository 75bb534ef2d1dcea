#include "balsampoint/peer/receiver.hpp"

#include "balsampoint/memory/command/record_holder.hpp"
#include "balsampoint/memory/command/relieve.hpp"
#include "balsampoint/memory/query/may_grow.hpp"
#include "balsampoint/net/loop.hpp"
#include "balsampoint/net/socket.hpp"
#include "balsampoint/peer/internal/call_codec.hpp"
#include "balsampoint/peer/internal/socket_options.hpp"
#include "balsampoint/runtime/steady_clock.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <chrono>
#include <set>
#include <spdlog/spdlog.h>
#include <utility>

namespace balsampoint::peer {

namespace {

constexpr std::size_t kMaxConnections = 1024;
constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;
/** Size above which a buffer is given back once its call has been read. */
constexpr std::size_t kKeptBytes = std::size_t{ 64 } * 1024;
/** Time without an acknowledgement after which a connection is closed. */
constexpr int kSilenceMs = 5000;
/** Pause after a connection could not be accepted, for example for want of
 * descriptors. */
constexpr Duration kAcceptPause = std::chrono::milliseconds{ 100 };

} // namespace

class Receiver::Listener : public generated::PeerIf
{
public:
  Listener(Identity aIdentity, Handler aHandler, std::size_t aMaxBytes)
    : mAuthenticator{ std::move(aIdentity) }
    , mHandler{ std::move(aHandler) }
    , mAcceptor{ mLoop.Context() }
    , mAcceptRetryTimer{ mLoop.Context() }
    , mMemory{ .settings = { .budgetBytes = aMaxBytes, .reservedBytes = 0 } }
  {
  }

  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  Listener(Listener&&) = delete;
  Listener& operator=(Listener&&) = delete;

  ~Listener() override { mLoop.Stop(); }

  tl::expected<void, Error> Listen(const std::string& aAddress);

  /** @brief Opens a frame and passes its content to the handler. */
  void Deliver(const generated::Frame& aFrame) override;

  [[nodiscard]] std::uint64_t Refused() const { return mRefused; }

private:
  class Connection;

  void Accept();
  void Add(net::Tcp::socket aSocket);
  /** Records what a connection holds, and closes others if all hold too much.
   */
  void Record(memory::HolderId aId, std::size_t aBytes, std::size_t aMoved);

  Authenticator mAuthenticator;
  Handler mHandler;
  std::atomic<std::uint64_t> mRefused{ 0 };
  net::Loop mLoop;
  net::Tcp::acceptor mAcceptor;
  net::Timer mAcceptRetryTimer;
  /** Open connections; used on the loop's thread. */
  std::set<std::shared_ptr<Connection>> mConnections;
  /** Bytes of incomplete calls; used on the loop's thread. */
  memory::State mMemory;
};

/** @brief Reads the calls of one connection. */
class Receiver::Listener::Connection
  : public std::enable_shared_from_this<Connection>
{
public:
  Connection(Listener& aListener, net::Tcp::socket aSocket)
    : mListener{ aListener }
    , mSocket{ std::move(aSocket) }
    , mHolder{ memory::AddHolder(aListener.mMemory,
                                 runtime::SteadyClock::Now()) }
  {
  }

  [[nodiscard]] memory::HolderId Holder() const noexcept { return mHolder; }

  /** An asynchronous read would try to read at once, mostly in vain. */
  void AwaitData()
  {
    mSocket.async_wait(
      net::Tcp::socket::wait_read,
      [this, self = shared_from_this()](const auto& aError) {
        if (!mSocket.is_open()) {
          return;
        }
        if (aError || !Read() || !TakeCalls()) {
          End();
          return;
        }
        mListener.Record(mHolder, mBytes.capacity(), std::exchange(mMoved, 0));
        if (mSocket.is_open()) {
          AwaitData();
        }
      });
  }

  /** Closes the connection to release its bytes. */
  void Release()
  {
    // The listener drops the last reference while the connection ends.
    const auto self = shared_from_this();
    static_cast<void>(Reject("incomplete calls take too many bytes"));
    End();
  }

private:
  /** @return Whether the connection is still open. */
  bool Read()
  {
    if (mBytes.size() - mFilled < kReadBytes) {
      Grow();
      mBytes.resize(mFilled + kReadBytes);
    }
    boost::system::error_code error;
    const auto read = mSocket.read_some(
      boost::asio::buffer(mBytes.data() + mFilled, mBytes.size() - mFilled),
      error);
    mFilled += read;
    mMoved += read;
    return !error || error == boost::asio::error::would_block;
  }

  /** Makes room for a read; unlike a string, for no more than the call takes.
   */
  void Grow()
  {
    if (mBytes.capacity() >= mFilled + kReadBytes) {
      return;
    }
    std::string grown;
    grown.reserve(std::max(mFilled + kReadBytes,
                           std::min(2 * mBytes.capacity(), mExpected)));
    grown.append(mBytes, 0, mFilled);
    mBytes.swap(grown);
  }

  /** @return Whether the bytes so far are calls. */
  bool TakeCalls()
  {
    std::string_view rest{ mBytes.data(), mFilled };
    mExpected = 0;
    while (true) {
      const auto length = internal::ReadLength(rest);
      if (!length.has_value()) {
        break;
      }
      const std::size_t size = length.value();
      if (size > internal::kMaxCallBytes) {
        return Reject("a call of " + std::to_string(size) + " bytes");
      }
      rest.remove_prefix(internal::kLengthBytes);
      if (rest.size() < size) {
        // The buffer grows as bytes arrive: who only names a length holds none.
        mExpected = size + internal::kLengthBytes + kReadBytes;
        Keep({ rest.data() - internal::kLengthBytes,
               rest.size() + internal::kLengthBytes });
        return true;
      }
      const auto taken = internal::DecodeCall(rest.substr(0, size), mListener);
      if (!taken) {
        return Reject(taken.error().detail);
      }
      rest.remove_prefix(size);
    }
    Keep(rest);
    return true;
  }

  /** @brief Moves bytes of an incomplete call to the front of the buffer. */
  void Keep(std::string_view aRest)
  {
    mFilled = aRest.size();
    if (mFilled == 0 && mBytes.size() > kKeptBytes) {
      mBytes = {};
      return;
    }
    if (aRest.data() != mBytes.data()) {
      std::copy(aRest.begin(), aRest.end(), mBytes.begin());
    }
  }

  bool Reject(const std::string& aReason)
  {
    ++mListener.mRefused;
    spdlog::warn("connection of a peer closed: {}", aReason);
    return false;
  }

  void End()
  {
    boost::system::error_code ignored;
    mSocket.close(ignored);
    memory::RemoveHolder(mListener.mMemory, mHolder);
    mListener.mConnections.erase(shared_from_this());
  }

  Listener& mListener;
  net::Tcp::socket mSocket;
  std::string mBytes;
  /** Bytes of the buffer that have been received. */
  std::size_t mFilled{};
  /** Size of the incomplete call with the bytes read behind it; 0 for none. */
  std::size_t mExpected{};
  /** Bytes read since the last report to the account. */
  std::size_t mMoved{};
  memory::HolderId mHolder;
};

void
Receiver::Listener::Record(memory::HolderId aId,
                           std::size_t aBytes,
                           std::size_t aMoved)
{
  const auto now = runtime::SteadyClock::Now();
  memory::RecordHolder(mMemory, aId, { .bytes = aBytes, .moved = aMoved }, now);
  // Each read of a peer comes here, and Relieve looks at all connections.
  if (!memory::NeedsRelief(mMemory)) {
    return;
  }
  for (const auto& action : memory::Relieve(mMemory, now)) {
    const auto found =
      std::ranges::find_if(mConnections, [&](const auto& aConnection) {
        return aConnection->Holder() == action.holder;
      });
    if (found != mConnections.end()) {
      (*found)->Release();
    }
  }
}

void
Receiver::Listener::Deliver(const generated::Frame& aFrame)
{
  auto parcel = mAuthenticator.Open(aFrame);
  if (!parcel) {
    ++mRefused;
    spdlog::warn("peer '{}' refused: {}", aFrame.sender, parcel.error().detail);
    return;
  }
  mHandler(std::move(*parcel));
}

tl::expected<void, Error>
Receiver::Listener::Listen(const std::string& aAddress)
{
  const auto endpoint = net::ParseAddress(aAddress);
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  try {
    mAcceptor.open(endpoint->protocol());
    mAcceptor.set_option(boost::asio::socket_base::reuse_address{ true });
    mAcceptor.bind(*endpoint);
    mAcceptor.listen();
  } catch (const boost::system::system_error& failure) {
    return Refuse(ErrorKind::Internal, aAddress + ": " + failure.what());
  }
  Accept();
  mLoop.Start();
  return {};
}

void
Receiver::Listener::Accept()
{
  mAcceptor.async_accept([this](const auto& aError, net::Tcp::socket aSocket) {
    if (aError) {
      spdlog::warn("a peer can't be accepted: {}", aError.message());
      mAcceptRetryTimer.Set(kAcceptPause, [this] { Accept(); });
      return;
    }
    Add(std::move(aSocket));
    Accept();
  });
}

void
Receiver::Listener::Add(net::Tcp::socket aSocket)
{
  if (mConnections.size() >= kMaxConnections) {
    spdlog::warn("a peer is not accepted beside {} others", kMaxConnections);
    return;
  }
  internal::CloseWhenSilent(aSocket.native_handle(), kSilenceMs);
  boost::system::error_code error;
  aSocket.non_blocking(true, error);
  if (error) {
    spdlog::warn("a peer can't be served: {}", error.message());
    return;
  }
  const auto connection =
    std::make_shared<Connection>(*this, std::move(aSocket));
  mConnections.insert(connection);
  connection->AwaitData();
}

Receiver::Receiver(std::unique_ptr<Listener> aListener)
  : mListener{ std::move(aListener) }
{
}

Receiver::~Receiver() = default;

tl::expected<std::unique_ptr<Receiver>, Error>
Receiver::Listen(const std::string& aAddress,
                 Identity aIdentity,
                 Handler aHandler,
                 std::size_t aMaxBytes)
{
  auto listener = std::make_unique<Listener>(
    std::move(aIdentity), std::move(aHandler), aMaxBytes);
  return listener->Listen(aAddress).map([&] {
    return std::unique_ptr<Receiver>{ new Receiver{ std::move(listener) } };
  });
}

std::uint64_t
Receiver::Refused() const
{
  return mListener->Refused();
}

} // namespace balsampoint::peer
