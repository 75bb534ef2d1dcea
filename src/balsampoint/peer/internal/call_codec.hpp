#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/peer/generated/Peer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace balsampoint::peer::internal {

/** @brief Largest call that a host accepts from another one, in bytes. */
inline constexpr std::uint32_t kMaxCallBytes = 16 * 1024 * 1024;

/** @brief Bytes of the length that precedes each call on a connection. */
inline constexpr std::size_t kLengthBytes = 4;

/**
 * @brief Encodes a call as on a connection: its length and the compact
 * protocol.
 * @param aFrame Argument of the call.
 */
[[nodiscard]] std::string
EncodeCall(const generated::Frame& aFrame);

/**
 * @brief Reads the length that precedes a call.
 * @param aBytes Bytes received so far.
 * @return The length, or nothing if not all of its bytes have arrived.
 */
[[nodiscard]] std::optional<std::uint32_t>
ReadLength(std::string_view aBytes);

/**
 * @brief Decodes a call and passes it to a service.
 * @param aCall The call, without its length.
 * @param aService Called with the argument.
 * @return Nothing, or `ErrorKind::BadRequest` if the bytes are no call.
 */
[[nodiscard]] tl::expected<void, Error>
DecodeCall(std::string_view aCall, generated::PeerIf& aService);

} // namespace balsampoint::peer::internal
