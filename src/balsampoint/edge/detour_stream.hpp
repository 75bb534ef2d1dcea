#pragma once

#include "balsampoint/wire/parser.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balsampoint::edge {

/** @brief Answers of a host that is asked to open a connection to a server. */
enum class DetourStatus : std::uint16_t
{
  Open = 200,
  /** The caller isn't a host of the cluster. */
  Unauthorized = 401,
  /** No server is announced at the address. */
  UnknownServer = 404,
  /** The server accepts no connection, as far as a host can tell that reaches
   * others. */
  ServerUnreachable = 502,
  /** The host reaches no servers itself, has enough connections, or stops. */
  Unavailable = 503,
};

/**
 * @brief Writes the request that opens a connection. What follows on the
 * connection are the bytes for the server, as chunks of the request's body;
 * the chunks of the response's body are the server's bytes. The response ends
 * with the last chunk only if the server has closed its connection in an
 * orderly way: a connection that breaks on the way has no such end.
 * @param aServer IP address and port of the server.
 * @param aToken Token of the cluster for that server.
 */
[[nodiscard]] std::string
WriteDetourRequest(std::string_view aServer, std::string_view aToken);

/**
 * @brief Writes the head of the answer; one that opens a connection is followed
 * by chunks.
 * @param aStatus The answer.
 */
[[nodiscard]] std::string
WriteDetourAnswer(DetourStatus aStatus);

/** @brief A request to open a connection. */
struct DetourRequest
{
  std::string_view server;
  std::string_view token;
};

/**
 * @brief Reads such a request.
 * @param aHead Head of the request; outlives the result.
 * @return Nothing if it is another kind of request.
 */
[[nodiscard]] std::optional<DetourRequest>
ReadDetourRequest(const wire::RequestHead& aHead);

/** @brief The server's bytes on a connection that another host has opened. */
class DetourStream
{
public:
  DetourStream();

  /**
   * @brief Takes bytes of the host.
   * @param aBytes The bytes.
   * @return The server's bytes among them.
   */
  [[nodiscard]] std::string Read(std::string_view aBytes);

  /** @brief The host's answer; absent if it isn't complete. */
  [[nodiscard]] std::optional<DetourStatus> Answer() const;

  /** @brief Whether the server has closed its connection in an orderly way. */
  [[nodiscard]] bool Ended() const noexcept { return mParser.Complete(); }

  /** @brief Whether the bytes aren't what a host sends. */
  [[nodiscard]] bool Malformed() const noexcept
  {
    return mParser.Error() != wire::ParseError::None;
  }

private:
  wire::Parser mParser;
};

} // namespace balsampoint::edge
