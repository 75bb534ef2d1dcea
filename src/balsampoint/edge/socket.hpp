#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/time.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace balsampoint::edge {

using Tcp = boost::asio::ip::tcp;

/**
 * @brief Reads an IP number and a port.
 * @param aText `10.0.0.1:80`.
 * @return The address, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<Tcp::endpoint, Error>
ParseAddress(std::string_view aText);

/**
 * @brief Sends without delay and notices a peer that no longer acknowledges.
 * @param aSocket The socket, open.
 * @param aSilence Time that sent bytes may stay unacknowledged.
 */
void
Prepare(Tcp::socket& aSocket, Duration aSilence);

/**
 * @brief Closes a socket so that the peer sees that the answer is incomplete.
 * @param aSocket The socket.
 */
void
Reset(Tcp::socket& aSocket);

} // namespace balsampoint::edge
