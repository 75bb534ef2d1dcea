#pragma once

#include "balsampoint/config/document.hpp"

#include <string>
#include <string_view>

namespace balsampoint::config {

/**
 * @brief Hashes a text.
 * @param aText The text.
 * @return SHA-256 in lower-case hexadecimal.
 */
[[nodiscard]] std::string
Sha256Hex(std::string_view aText);

/**
 * @brief Hashes a key for the configuration.
 * @param aKey The whole key, `id.secret`.
 * @param aSalt Salt in lower-case hexadecimal digits.
 * @return The hash under the key's id.
 */
[[nodiscard]] KeyHash
HashKey(std::string_view aKey, std::string_view aSalt);

/**
 * @brief Tells whether a key is the one behind a hash, in constant time.
 * @param aHash The salted hash.
 * @param aKey The key as a caller gave it.
 * @return Whether it is.
 */
[[nodiscard]] bool
VerifyKey(const KeyHash& aHash, std::string_view aKey);

/**
 * @brief The public part of a key.
 * @param aKey The key, `id.secret`.
 * @return What stands before the first dot; empty when there is no dot.
 */
[[nodiscard]] std::string_view
KeyIdOf(std::string_view aKey) noexcept;

} // namespace balsampoint::config
