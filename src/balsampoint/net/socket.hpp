#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/time.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace balsampoint::net {

using Tcp = boost::asio::ip::tcp;

/**
 * @brief Parses an IP address and a port.
 * @param aText Text such as `10.0.0.1:80`.
 * @return The endpoint, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<Tcp::endpoint, Error>
ParseAddress(std::string_view aText);

/**
 * @brief Binds an acceptor to an address and starts to listen.
 * @param aAcceptor Acceptor that isn't open.
 * @param aAddress IP address and port.
 * @param aBacklog Connections that may wait to be accepted.
 * @return Nothing, `ErrorKind::BadRequest` if the address can't be parsed, or
 * `ErrorKind::Internal` if it can't be bound.
 */
tl::expected<void, Error>
Listen(Tcp::acceptor& aAcceptor, const std::string& aAddress, int aBacklog);

/**
 * @brief Sets the size of the kernel's buffers of the connections that are
 * accepted later, which also keeps the kernel from growing them.
 * @param aAcceptor Acceptor that listens.
 * @param aBytes Size of the receive buffer, and of the send buffer.
 */
void
LimitBuffers(Tcp::acceptor& aAcceptor, std::size_t aBytes);

/**
 * @brief The same for one socket.
 * @param aSocket Open socket that isn't connected.
 * @param aBytes Size of the receive buffer, and of the send buffer.
 */
void
LimitBuffers(Tcp::socket& aSocket, std::size_t aBytes);

/**
 * @brief Disables Nagle's algorithm and enables TCP keepalive and a limit on
 * unacknowledged data.
 * @param aSocket Open socket.
 * @param aAckTimeout Time that sent bytes may stay unacknowledged.
 */
void
ConfigureSocket(Tcp::socket& aSocket, Duration aAckTimeout);

/** @brief What the kernel knows of the bytes sent on a connection. */
struct AckState
{
  /** Whether the peer has yet to acknowledge any of them. */
  bool unacknowledged{ false };
  /** Time since the last acknowledgement, with or without data. */
  Duration sinceAck{};
};

/**
 * @brief Reads what the kernel knows of the bytes sent on a connection.
 * @param aSocket Established socket.
 * @return Nothing where the kernel doesn't tell (`TCP_INFO`).
 */
[[nodiscard]] std::optional<AckState>
ReadAckState(Tcp::socket& aSocket);

/**
 * @brief Whether the peer ended its side in order, where a read finds the end
 * of the stream.
 *
 * Linux reports a reset to one call only. If that is a write, the read after it
 * finds the end of the stream, as if the peer had ended its side. A write that
 * fails since the peer did so before it reset the connection gets `EPIPE`
 * instead.
 * @param aWriteError First error of the writes before the read, if any.
 */
[[nodiscard]] bool
IsOrderlyEnd(const boost::system::error_code& aWriteError);

/**
 * @brief Closes a socket with a TCP reset, which shows the peer that the
 * response is incomplete.
 * @param aSocket Socket to close.
 */
void
ResetConnection(Tcp::socket& aSocket);

} // namespace balsampoint::net
