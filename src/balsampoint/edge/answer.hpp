#pragma once

#include "balsampoint/wire/head.hpp"

#include <string>
#include <string_view>

namespace balsampoint::edge {

/** @brief How the body of an answer to a caller is framed. */
enum class Framing : std::uint8_t
{
  Length,
  Chunks,
  /** Ends with the connection, for callers that know no chunks. */
  Close,
};

/**
 * @brief Makes the head of an answer from that of a server's.
 * @param aHead The server's head.
 * @param aFraming How the body is framed.
 * @param aLength Length of the body, if framed so.
 * @param aKeep Whether the caller may use the connection again.
 * @return The head with the empty line that ends it.
 */
[[nodiscard]] std::string
MakeAnswerHead(const wire::ResponseHead& aHead,
               Framing aFraming,
               std::size_t aLength,
               bool aKeep);

/**
 * @brief Makes a whole answer of this host.
 * @param aStatus HTTP status.
 * @param aFields Further header fields, each with its line end.
 * @param aBody The body, as JSON.
 * @param aKeep Whether the caller may use the connection again.
 */
[[nodiscard]] std::string
MakeAnswer(std::uint16_t aStatus,
           std::string_view aFields,
           std::string_view aBody,
           bool aKeep);

} // namespace balsampoint::edge
