#pragma once

#include "balsampoint/wire/head.hpp"

#include <string>
#include <string_view>

namespace balsampoint::edge {

/** @brief How the end of a response body is marked for the caller. */
enum class BodyFraming : std::uint8_t
{
  /** By a `Content-Length` header. */
  ContentLength,
  /** By chunked transfer encoding. */
  Chunked,
  /** By closing the connection, for callers without chunked encoding. */
  UntilClose,
};

/**
 * @brief Makes the response head for a caller from that of a server, without
 * its hop-by-hop fields.
 * @param aHead Response head of the server.
 * @param aFraming How the body is framed.
 * @param aLength Length of the body in bytes; used with
 * `BodyFraming::ContentLength`.
 * @param aKeepAlive Whether the connection stays open for another request.
 * @return The head, including the empty line at its end.
 */
[[nodiscard]] std::string
MakeResponseHead(const wire::ResponseHead& aHead,
                 BodyFraming aFraming,
                 std::size_t aLength,
                 bool aKeepAlive);

/**
 * @brief Makes a whole response that originates from this host.
 * @param aStatus HTTP status.
 * @param aFields Further header fields, each ending with CR LF.
 * @param aBody JSON body; may be empty.
 * @param aKeepAlive Whether the connection stays open for another request.
 */
[[nodiscard]] std::string
MakeResponse(std::uint16_t aStatus,
             std::string_view aFields,
             std::string_view aBody,
             bool aKeepAlive);

} // namespace balsampoint::edge
