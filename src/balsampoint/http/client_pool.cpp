#include "balsampoint/http/client_pool.hpp"

#include "balsampoint/forward/answer_check.hpp"
#include "balsampoint/runtime/steady_clock.hpp"
#include "balsampoint/wire/status_line.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <istream>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace balsampoint::http {

namespace {

using runtime::SteadyClock;

constexpr Duration kMaxIdle = std::chrono::seconds{ 3 };
constexpr Duration kMaxConnect = std::chrono::milliseconds{ 500 };
constexpr Duration kMinWait = std::chrono::milliseconds{ 1 };
constexpr std::size_t kMaxIdlePerAddress = 256;
constexpr std::size_t kChunkBytes = 16384;
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr std::size_t kMaxHeadBytes = 65536;

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

/** @brief Reads a head up to its empty line, or what there is of it. */
std::string
ReadHead(std::istream& aStream)
{
  std::string head;
  for (std::string line; std::getline(aStream, line);) {
    head += line + '\n';
    if (line.empty() || line == "\r") {
      break;
    }
    if (head.size() > kMaxHeadBytes) {
      throw Poco::Net::MessageException("the head of the answer is too large");
    }
  }
  return head;
}

/** @brief The number in place of a status in a head; 0 if there is none. */
int
StatusOf(std::string_view aHead)
{
  const auto line = aHead.substr(0, aHead.find_first_of("\r\n"));
  const auto space = line.find(' ');
  if (space == std::string_view::npos) {
    return 0;
  }
  const auto number = line.substr(space + 1);
  return wire::ReadStatus(number.substr(0, number.find(' ')));
}

/** @brief A response whose status is checked before the library reads it: its
 * type for the status can't hold every number that a server may send. */
class CheckedResponse : public Poco::Net::HTTPResponse
{
public:
  void read(std::istream& aStream) override
  {
    const auto head = ReadHead(aStream);
    const auto status = StatusOf(head);
    if (!head.empty() && (status < kFirstStatus || status > kLastStatus)) {
      throw Poco::Net::MessageException("answer without a status");
    }
    std::istringstream stream{ head };
    HTTPResponse::read(stream);
  }
};

void
Write(Poco::Net::HTTPClientSession& aSession, const ClientRequest& aRequest)
{
  Poco::Net::HTTPRequest request{ aRequest.method,
                                  aRequest.path,
                                  Poco::Net::HTTPMessage::HTTP_1_1 };
  request.setContentLength64(static_cast<Poco::Int64>(aRequest.body.size()));
  if (!aRequest.body.empty()) {
    request.setContentType(aRequest.contentType);
  }
  request.setKeepAlive(aRequest.reuseConnection);
  for (const auto& header : aRequest.headers) {
    request.set(header.name, header.value);
  }
  request.setHost(aSession.socket().peerAddress().toString());
  auto& stream = aSession.sendRequest(request);
  stream.write(aRequest.body.data(),
               static_cast<std::streamsize>(aRequest.body.size()));
  // A write may have met a reset, which the read after it then takes for the
  // end of the answer.
  if (!stream.flush()) {
    throw Poco::Net::NetException("the request was not sent whole");
  }
}

/**
 * @brief Skips the answers that tell a caller to go on.
 * @param aSession Connection that the request was sent on.
 * @param aDeadline When the wait ends.
 * @param aHead Receives the head of the first other answer.
 */
void
SkipInterim(Poco::Net::HTTPClientSession& aSession,
            Instant aDeadline,
            Poco::Net::HTTPResponse& aHead)
{
  std::uint32_t skipped = 0;
  while (aSession.peekResponse(aHead)) {
    if (++skipped > forward::kMaxInterimAnswers) {
      throw Poco::Net::MessageException("interim answers without end");
    }
    aSession.socket().setReceiveTimeout(Span(aDeadline - SteadyClock::Now()));
  }
}

ClientResponse
Read(Poco::Net::HTTPClientSession& aSession,
     const ClientRequest& aRequest,
     Instant aDeadline,
     bool& aKeepAlive)
{
  CheckedResponse head;
  SkipInterim(aSession, aDeadline, head);
  auto& stream = aSession.receiveResponse(head);
  const auto status = static_cast<int>(head.getStatus());
  if (status < kFirstFinalStatus) {
    throw Poco::Net::MessageException("answer without a final status");
  }
  ClientResponse response{ .status = static_cast<std::uint16_t>(status) };
  for (const auto& [name, value] : head) {
    response.headers.push_back({ name, value });
  }
  std::array<char, kChunkBytes> chunk{};
  while (stream.good()) {
    aSession.socket().setReceiveTimeout(Span(aDeadline - SteadyClock::Now()));
    stream.read(chunk.data(), chunk.size());
    response.body.append(chunk.data(),
                         static_cast<std::size_t>(stream.gcount()));
    if (response.body.size() > aRequest.maxResponseBytes) {
      throw Poco::Net::MessageException("answer over the size limit");
    }
  }
  if (head.hasContentLength() && aRequest.method != "HEAD" &&
      response.body.size() !=
        static_cast<std::uint64_t>(head.getContentLength64())) {
    throw Poco::Net::MessageException("answer cut short");
  }
  aKeepAlive = head.getKeepAlive();
  return response;
}

} // namespace

tl::expected<ClientResponse, CallFailure>
ClientPool::Call(const std::string& aAddress,
                 const ClientRequest& aRequest,
                 Duration aTimeout)
{
  const auto deadline = SteadyClock::Now() + aTimeout;
  Session session;
  if (aRequest.reuseConnection) {
    session = TakeIdle(aAddress);
  }
  if (!session) {
    auto connected = Connect(aAddress, aTimeout);
    if (!connected) {
      return tl::unexpected(connected.error());
    }
    session = std::move(*connected);
  }
  try {
    session->socket().setSendTimeout(Span(deadline - SteadyClock::Now()));
    Write(*session, aRequest);
    session->socket().setReceiveTimeout(Span(deadline - SteadyClock::Now()));
    bool keepAlive = false;
    auto response = Read(*session, aRequest, deadline, keepAlive);
    if (keepAlive && aRequest.reuseConnection) {
      Keep(aAddress, std::move(session));
    }
    return response;
  } catch (const Poco::TimeoutException& failure) {
    return tl::unexpected(Lost(aAddress + ": no answer in time", true));
  } catch (const Poco::Exception& failure) {
    const bool late = SteadyClock::Now() >= deadline;
    return tl::unexpected(Lost(aAddress + ": " + failure.displayText(), late));
  }
}

ClientPool::Session
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
    const bool closed =
      entry.session->socket().poll(0, Poco::Net::Socket::SELECT_READ);
    if (!closed) {
      return std::move(entry.session);
    }
  }
  return {};
}

void
ClientPool::Keep(const std::string& aAddress, Session aSession)
{
  const std::lock_guard lock{ mMutex };
  auto& idle = mIdle[aAddress];
  if (idle.size() < kMaxIdlePerAddress) {
    idle.push_back({ std::move(aSession), SteadyClock::Now() });
  }
}

tl::expected<ClientPool::Session, CallFailure>
ClientPool::Connect(const std::string& aAddress, Duration aTimeout)
{
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress{ aAddress },
                   Span(std::min(aTimeout, kMaxConnect)));
    socket.setNoDelay(true);
    auto session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
    session->setKeepAlive(true);
    return session;
  } catch (const Poco::Exception& failure) {
    return tl::unexpected(NotSent(aAddress + ": " + failure.displayText()));
  }
}

} // namespace balsampoint::http
