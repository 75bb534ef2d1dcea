#include "balsampoint/net/socket.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <chrono>
#include <cstddef>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

namespace balsampoint::net {

namespace {

/** Idle time before the first keepalive probe and time between probes. */
constexpr int kProbeSeconds = 2;
/** Unacknowledged probes after which the connection is closed. */
constexpr int kProbes = 2;

template<typename Socket>
void
SetOption(Socket& aSocket, int aLevel, int aName, int aValue)
{
  if (setsockopt(
        aSocket.native_handle(), aLevel, aName, &aValue, sizeof aValue) != 0) {
    spdlog::debug("setting socket option {} of level {} failed", aName, aLevel);
  }
}

template<typename Socket>
void
LimitBuffersOf(Socket& aSocket, std::size_t aBytes)
{
  // The kernel doubles the value, as half of a buffer is its own records.
  const auto bytes = static_cast<int>(aBytes / 2);
  SetOption(aSocket, SOL_SOCKET, SO_RCVBUF, bytes);
  SetOption(aSocket, SOL_SOCKET, SO_SNDBUF, bytes);
}

} // namespace

tl::expected<Tcp::endpoint, Error>
ParseAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return Refuse(ErrorKind::BadRequest, "the address has no port");
  }
  std::uint16_t port{};
  const auto* last = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data() + colon + 1, last, port);
  boost::system::error_code error;
  const auto host =
    boost::asio::ip::make_address(std::string{ aText.substr(0, colon) }, error);
  if (read.ec != std::errc{} || read.ptr != last || error) {
    return Refuse(ErrorKind::BadRequest,
                  "the address is not an IP address and a port");
  }
  return Tcp::endpoint{ host, port };
}

tl::expected<void, Error>
Listen(Tcp::acceptor& aAcceptor, const std::string& aAddress, int aBacklog)
{
  const auto endpoint = ParseAddress(aAddress);
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  try {
    aAcceptor.open(endpoint->protocol());
    aAcceptor.set_option(boost::asio::socket_base::reuse_address{ true });
    aAcceptor.bind(*endpoint);
    aAcceptor.listen(aBacklog);
  } catch (const boost::system::system_error& failure) {
    return Refuse(ErrorKind::Internal, aAddress + ": " + failure.what());
  }
  return {};
}

void
LimitBuffers(Tcp::acceptor& aAcceptor, std::size_t aBytes)
{
  LimitBuffersOf(aAcceptor, aBytes);
}

void
LimitBuffers(Tcp::socket& aSocket, std::size_t aBytes)
{
  LimitBuffersOf(aSocket, aBytes);
}

void
ConfigureSocket(Tcp::socket& aSocket, Duration aAckTimeout)
{
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(aAckTimeout).count();
  SetOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(
    aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(milliseconds));
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

std::optional<AckState>
ReadAckState([[maybe_unused]] Tcp::socket& aSocket)
{
#ifdef TCP_INFO
  tcp_info info{};
  socklen_t size = sizeof info;
  // A kernel with a shorter structure doesn't fill in the field.
  constexpr auto kNeeded = offsetof(tcp_info, tcpi_last_ack_recv) +
                           sizeof(tcp_info::tcpi_last_ack_recv);
  if (getsockopt(
        aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
      size >= kNeeded) {
    return AckState{ .unacknowledged = info.tcpi_unacked > 0,
                     .sinceAck =
                       std::chrono::milliseconds{ info.tcpi_last_ack_recv } };
  }
#endif
  return std::nullopt;
}

bool
IsOrderlyEnd(const boost::system::error_code& aWriteError)
{
  return !aWriteError || aWriteError == boost::asio::error::broken_pipe;
}

void
ResetConnection(Tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::socket_base::linger{ true, 0 }, ignored);
  aSocket.close(ignored);
}

} // namespace balsampoint::net
