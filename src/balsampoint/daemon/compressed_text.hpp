#pragma once

#include "balsampoint/core/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace balsampoint::daemon {

/** @brief Longest text that is unpacked, in bytes; 16 times the largest body
 * that a configuration may have by default. */
inline constexpr std::size_t kMaxTextBytes = std::size_t{ 64 } * 1024 * 1024;

/**
 * @brief Compresses a text in the format of zlib.
 * @param aText The text.
 * @return The packed bytes; the same for the same text.
 */
[[nodiscard]] std::string
Compress(std::string_view aText);

/**
 * @brief Unpacks a compressed text.
 * @param aPacked The packed bytes.
 * @return The text, or `ErrorKind::InvalidConfiguration` where the bytes are
 * damaged or hold more than `kMaxTextBytes`.
 */
[[nodiscard]] tl::expected<std::string, Error>
Decompress(std::string_view aPacked);

} // namespace balsampoint::daemon
