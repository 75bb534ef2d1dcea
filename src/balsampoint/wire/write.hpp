#pragma once

#include "balsampoint/wire/head.hpp"

#include <string>
#include <string_view>

namespace balsampoint::wire {

/**
 * @brief Appends a header field.
 * @param aOutput Receives the line with its CR LF.
 * @param aName Name of the field.
 * @param aValue Value of the field.
 */
void
AppendField(std::string& aOutput,
            std::string_view aName,
            std::string_view aValue);

/**
 * @brief Whether a field is a hop-by-hop field or describes the framing of the
 * body, and so must not be forwarded.
 * @param aName Name of the field.
 * @param aFields All fields of the message; `Connection` may name further
 * hop-by-hop fields.
 */
[[nodiscard]] bool
IsHopByHopField(std::string_view aName, const Fields& aFields);

/**
 * @brief Appends one chunk of a chunked body.
 * @param aOutput Receives the chunk with its size line.
 * @param aBytes Data of the chunk; not empty, which would end the body.
 */
void
AppendChunk(std::string& aOutput, std::string_view aBytes);

/** @brief Last chunk, which ends a chunked body. */
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/** @brief Standard reason phrase of a status code. */
[[nodiscard]] std::string_view
ReasonPhrase(std::uint16_t aStatus);

} // namespace balsampoint::wire
