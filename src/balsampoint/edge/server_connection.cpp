#include "balsampoint/edge/server_connection.hpp"

#include <charconv>
#include <optional>

namespace balsampoint::edge {

namespace {

/** Idle connections are closed this long before the server would. */
constexpr Duration kIdleMargin = std::chrono::seconds{ 1 };

/** @brief Reads the `timeout` parameter of the `Keep-Alive` header, in seconds;
 * nothing if it is absent or not a number. */
std::optional<Duration>
ToldTimeout(const wire::Fields& aFields)
{
  constexpr std::string_view kName = "timeout=";
  const auto value = aFields.Find("Keep-Alive").value_or(std::string_view{});
  const auto at = value.find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const auto digits = value.substr(at + kName.size());
  std::int64_t seconds{};
  const auto read =
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (read.ec != std::errc{}) {
    return std::nullopt;
  }
  return std::chrono::seconds{ seconds };
}

} // namespace

ServerConnection::ServerConnection(boost::asio::io_context& aContext,
                                   std::string aAddress,
                                   const ServerBounds& aBounds)
  : mBounds{ aBounds }
  , mAddress{ std::move(aAddress) }
  , mSocket{ aContext }
  , mTimer{ aContext }
  , mParser{ wire::MessageKind::Response, aBounds.message }
  , mIdleTimeout{ aBounds.idleTimeout }
{
}

void
ServerConnection::Connect()
{
  const auto endpoint = ParseAddress(mAddress);
  boost::system::error_code error;
  if (endpoint) {
    mSocket.open(endpoint->protocol(), error);
  }
  if (!endpoint || error) {
    boost::asio::post(mSocket.get_executor(),
                      [self = shared_from_this()] { self->Lose(); });
    return;
  }
  Prepare(mSocket, mBounds.silence);
  mTimer.Set(mBounds.connectTimeout, [self = weak_from_this()] {
    if (const auto connection = self.lock()) {
      connection->Lose();
    }
  });
  mSocket.async_connect(*endpoint,
                        [self = shared_from_this()](const auto& aError) {
                          self->OnConnect(aError);
                        });
}

void
ServerConnection::OnConnect(const boost::system::error_code& aError)
{
  if (!mSocket.is_open()) {
    return;
  }
  mTimer.Clear();
  if (aError) {
    Lose();
    return;
  }
  Read();
  Tell(ServerSignal::Connected);
}

void
ServerConnection::Send(std::string aBytes, bool aHead)
{
  mHead = aHead;
  mParser.Restart();
  if (mHead) {
    mParser.ExpectNoBody();
  }
  mWaiting = true;
  mWriting = true;
  mSending = std::move(aBytes);
  boost::asio::async_write(
    mSocket,
    boost::asio::buffer(mSending),
    [self = shared_from_this()](const auto& aError, std::size_t) {
      self->mWriting = false;
      // A response may have arrived before the write failed; it is read first.
      if (aError && aError != boost::asio::error::operation_aborted &&
          !self->mParser.Started()) {
        self->Lose();
      }
    });
}

void
ServerConnection::Close()
{
  mObserver = nullptr;
  mTimer.Clear();
  boost::system::error_code ignored;
  mSocket.close(ignored);
}

void
ServerConnection::SkipResponse()
{
  mParser.Restart();
  if (mHead) {
    mParser.ExpectNoBody();
  }
  if (!mUnread.empty()) {
    Parse();
  }
}

bool
ServerConnection::Reusable() const
{
  return mSocket.is_open() && !mWriting && mUnread.empty() &&
         mParser.Complete() && mParser.Response().keepAlive;
}

void
ServerConnection::Rest()
{
  const auto told = ToldTimeout(mParser.Response().fields);
  mIdleTimeout = told ? *told - kIdleMargin : mBounds.idleTimeout;
  mWaiting = false;
  mObserver = nullptr;
  mRestsSince = std::chrono::steady_clock::now();
  mParser.Restart();
}

void
ServerConnection::Read()
{
  mSocket.async_read_some(
    boost::asio::buffer(mBuffer),
    [self = shared_from_this()](const auto& aError, std::size_t aSize) {
      self->OnRead(aError, aSize);
    });
}

void
ServerConnection::OnRead(const boost::system::error_code& aError,
                         std::size_t aSize)
{
  if (!mSocket.is_open()) {
    return;
  }
  if (aError) {
    if (aError == boost::asio::error::eof && mWaiting) {
      mParser.ReadEof();
      if (mParser.Complete()) {
        mWaiting = false;
        Tell(ServerSignal::ResponseData);
        return;
      }
    }
    Lose();
    return;
  }
  if (!mWaiting) {
    // Unsolicited bytes: the connection can't be reused.
    Lose();
    return;
  }
  mUnread.append(mBuffer.data(), aSize);
  const auto self = shared_from_this();
  Parse();
  if (mSocket.is_open()) {
    Read();
  }
}

void
ServerConnection::Parse()
{
  const auto used = mParser.Read(mUnread);
  mUnread.erase(0, used);
  if (mParser.Error() != wire::ParseError::None) {
    Lose();
    return;
  }
  Tell(ServerSignal::ResponseData);
}

void
ServerConnection::Lose()
{
  mTimer.Clear();
  boost::system::error_code ignored;
  mSocket.close(ignored);
  Tell(ServerSignal::Lost);
}

void
ServerConnection::Tell(ServerSignal aSignal)
{
  const auto self = shared_from_this();
  // The copy stays valid if the observer is replaced during the call.
  if (const auto observer = mObserver) {
    observer(aSignal);
  }
}

} // namespace balsampoint::edge
