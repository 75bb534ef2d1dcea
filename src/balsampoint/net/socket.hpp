#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/time.hpp"

#include <boost/asio/ip/tcp.hpp>
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
 * @brief Disables Nagle's algorithm and enables TCP keepalive and a limit on
 * unacknowledged data.
 * @param aSocket Open socket.
 * @param aAckTimeout Time that sent bytes may stay unacknowledged.
 */
void
ConfigureSocket(Tcp::socket& aSocket, Duration aAckTimeout);

/**
 * @brief Closes a socket with a TCP reset, which shows the peer that the
 * response is incomplete.
 * @param aSocket Socket to close.
 */
void
ResetConnection(Tcp::socket& aSocket);

} // namespace balsampoint::net
