#include "balsampoint/http/client_pool.hpp"

#include "balsampoint/forward/answer_check.hpp"
#include "balsampoint/runtime/steady_clock.hpp"
#include "balsampoint/wire/parser.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>
#include <sstream>
#include <string>
#include <string_view>
#include <sys/socket.h>

namespace balsampoint::http {

namespace {

using runtime::SteadyClock;

constexpr Duration kMaxIdle = std::chrono::seconds{ 3 };
constexpr Duration kMaxConnect = std::chrono::milliseconds{ 500 };
constexpr Duration kMinWait = std::chrono::milliseconds{ 1 };
constexpr std::size_t kMaxIdlePerAddress = 256;
constexpr std::size_t kPartBytes = 16384;
constexpr std::uint16_t kContinue = 100;

Poco::Timespan
Span(Duration aDuration)
{
  const auto wait = std::max(aDuration, kMinWait);
  return Poco::Timespan{
    std::chrono::duration_cast<std::chrono::microseconds>(wait).count()
  };
}

CallFailure
NotSent(const std::string& aDetail)
{
  return { .error = MakeError(ErrorKind::NoServer, aDetail),
           .maybeSent = false };
}

CallFailure
Lost(const std::string& aDetail, bool aTimedOut)
{
  return { .error = MakeError(ErrorKind::BackendFailed, aDetail),
           .maybeSent = true,
           .timedOut = aTimedOut };
}

std::string
Encode(const ClientRequest& aRequest, const std::string& aHost)
{
  Poco::Net::HTTPRequest head{ aRequest.method,
                               aRequest.path,
                               Poco::Net::HTTPMessage::HTTP_1_1 };
  head.setContentLength64(static_cast<Poco::Int64>(aRequest.body.size()));
  if (!aRequest.body.empty()) {
    head.setContentType(aRequest.contentType);
  }
  head.setKeepAlive(aRequest.reuseConnection);
  for (const auto& header : aRequest.headers) {
    head.set(header.name, header.value);
  }
  head.setHost(aHost);
  std::ostringstream bytes;
  head.write(bytes);
  bytes << aRequest.body;
  return std::move(bytes).str();
}

/**
 * @brief Sends a request.
 * @param aSocket Connection.
 * @param aBytes The request.
 * @param aDeadline When the wait ends.
 * @return Whether it was sent whole. If not, an answer may have arrived before.
 */
bool
Write(Poco::Net::StreamSocket& aSocket,
      std::string_view aBytes,
      Instant aDeadline)
{
  try {
    while (!aBytes.empty()) {
      const auto part = aBytes.substr(0, kPartBytes);
      aSocket.setSendTimeout(Span(aDeadline - SteadyClock::Now()));
      const auto sent = aSocket.sendBytes(
        part.data(), static_cast<int>(part.size()), MSG_NOSIGNAL);
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  } catch (const Poco::IOException&) {
    return false;
  }
  return true;
}

/** @brief Reads the answer to one request. */
class AnswerReader
{
public:
  explicit AnswerReader(const ClientRequest& aRequest)
    : mIsHead{ aRequest.method == "HEAD" }
    , mHasRequestBody{ !aRequest.body.empty() }
    , mParser{ wire::MessageKind::Response,
               { .bodyBytes = aRequest.maxResponseBytes } }
  {
    Restart();
  }

  /** @brief Whether the answer is whole, or can't be any more. */
  [[nodiscard]] bool Ended() const
  {
    return mParser.Complete() || mParser.Error() != wire::ParseError::None;
  }

  /** @brief Takes bytes of the connection. */
  void Read(std::string_view aBytes)
  {
    mUnread += aBytes;
    mUnread.erase(0, mParser.Read(mUnread));
    // Interim answers that tell a caller to go on are skipped.
    while (mParser.Complete() && mParser.Response().status == kContinue &&
           ++mSkipped <= forward::kMaxInterimAnswers) {
      Restart();
      mUnread.erase(0, mParser.Read(mUnread));
    }
  }

  /**
   * @brief Takes the end of the connection.
   * @param aWasSent Whether the request was sent whole; if not, only a refusal
   * is whole without a length.
   */
  void ReadEof(bool aWasSent)
  {
    if (aWasSent) {
      mParser.ReadEof();
    } else {
      ReadReset();
    }
  }

  /** @brief Takes a reset of the connection. */
  void ReadReset()
  {
    if (!mHasRequestBody) {
      throw Poco::Net::ConnectionResetException{};
    }
    mParser.ReadReset();
  }

  /** @brief Whether another request may follow on the connection. */
  [[nodiscard]] bool MayKeepAlive() const
  {
    return mParser.Response().keepAlive && mUnread.empty();
  }

  /** @brief The answer; throws if there is none. */
  [[nodiscard]] ClientResponse TakeResponse()
  {
    if (mParser.Error() == wire::ParseError::BodyTooLarge) {
      throw Poco::Net::MessageException("answer over the size limit");
    }
    if (mParser.Error() != wire::ParseError::None) {
      throw Poco::Net::MessageException("answer malformed or cut short");
    }
    const auto& head = mParser.Response();
    if (!head.HasStatus() || head.Interim()) {
      throw Poco::Net::MessageException("answer without a final status");
    }
    ClientResponse response{ .status = head.status };
    for (const auto& field : head.fields.All()) {
      response.headers.push_back({ field.name, field.value });
    }
    response.body = mParser.TakeBody();
    return response;
  }

private:
  void Restart()
  {
    mParser.Restart();
    if (mIsHead) {
      mParser.ExpectNoBody();
    }
  }

  bool mIsHead;
  bool mHasRequestBody;
  wire::Parser mParser;
  std::string mUnread;
  std::uint32_t mSkipped{};
};

/**
 * @brief Reads an answer to its end.
 * @param aSocket Connection.
 * @param aReader Receives the bytes and the end.
 * @param aWasSent Whether the request was sent whole.
 * @param aDeadline When the wait ends.
 */
void
Read(Poco::Net::StreamSocket& aSocket,
     AnswerReader& aReader,
     bool aWasSent,
     Instant aDeadline)
{
  std::array<char, kPartBytes> part{};
  while (!aReader.Ended()) {
    aSocket.setReceiveTimeout(Span(aDeadline - SteadyClock::Now()));
    try {
      const auto size =
        aSocket.receiveBytes(part.data(), static_cast<int>(part.size()));
      if (size > 0) {
        aReader.Read({ part.data(), static_cast<std::size_t>(size) });
      } else {
        aReader.ReadEof(aWasSent);
      }
    } catch (const Poco::Net::ConnectionResetException&) {
      aReader.ReadReset();
    }
  }
}

} // namespace

tl::expected<ClientResponse, CallFailure>
ClientPool::Call(const std::string& aAddress,
                 const ClientRequest& aRequest,
                 Duration aTimeout)
{
  const auto deadline = SteadyClock::Now() + aTimeout;
  std::optional<Socket> socket;
  if (aRequest.reuseConnection) {
    socket = TakeIdle(aAddress);
  }
  if (!socket) {
    auto connected = Connect(aAddress, aTimeout);
    if (!connected) {
      return tl::unexpected(connected.error());
    }
    socket = std::move(*connected);
  }
  try {
    const bool sent = Write(
      *socket, Encode(aRequest, socket->peerAddress().toString()), deadline);
    AnswerReader reader{ aRequest };
    Read(*socket, reader, sent, deadline);
    auto response = reader.TakeResponse();
    if (sent && reader.MayKeepAlive() && aRequest.reuseConnection) {
      Keep(aAddress, *socket);
    }
    return response;
  } catch (const Poco::TimeoutException& failure) {
    return tl::unexpected(Lost(aAddress + ": no answer in time", true));
  } catch (const Poco::Exception& failure) {
    const bool late = SteadyClock::Now() >= deadline;
    return tl::unexpected(Lost(aAddress + ": " + failure.displayText(), late));
  }
}

std::optional<ClientPool::Socket>
ClientPool::TakeIdle(const std::string& aAddress)
{
  const std::lock_guard lock{ mMutex };
  const auto found = mIdle.find(aAddress);
  if (found == mIdle.end()) {
    return {};
  }
  auto& idle = found->second;
  const auto now = SteadyClock::Now();
  while (!idle.empty()) {
    auto entry = std::move(idle.back());
    idle.pop_back();
    if (now - entry.since > kMaxIdle) {
      idle.clear();
      return {};
    }
    const bool closed = entry.socket.poll(0, Poco::Net::Socket::SELECT_READ);
    if (!closed) {
      return entry.socket;
    }
  }
  return {};
}

void
ClientPool::Keep(const std::string& aAddress, const Socket& aSocket)
{
  const std::lock_guard lock{ mMutex };
  auto& idle = mIdle[aAddress];
  if (idle.size() < kMaxIdlePerAddress) {
    idle.push_back({ aSocket, SteadyClock::Now() });
  }
}

tl::expected<ClientPool::Socket, CallFailure>
ClientPool::Connect(const std::string& aAddress, Duration aTimeout)
{
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress{ aAddress },
                   Span(std::min(aTimeout, kMaxConnect)));
    socket.setNoDelay(true);
    return socket;
  } catch (const Poco::Exception& failure) {
    return tl::unexpected(NotSent(aAddress + ": " + failure.displayText()));
  }
}

} // namespace balsampoint::http
