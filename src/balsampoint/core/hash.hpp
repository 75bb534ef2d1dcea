#pragma once

#include <cstdint>
#include <string_view>

namespace balsampoint {

/** @brief Initial value of a hash (FNV-1a offset basis). */
inline constexpr std::uint64_t kHashStart = 0xCBF29CE484222325ULL;

/**
 * @brief Combines a hash with a number.
 * @param aHash The hash; `kHashStart` for the first number.
 * @param aNumber The number.
 * @return The combined hash.
 */
[[nodiscard]] constexpr std::uint64_t
HashNumber(std::uint64_t aHash, std::uint64_t aNumber) noexcept
{
  auto value = (aHash ^ aNumber) * 0x9E3779B97F4A7C15ULL;
  value ^= value >> 32U;
  return value * 0xD6E8FEB86659FD93ULL;
}

/**
 * @brief Hashes a text with FNV-1a; the result is equal on all hosts.
 * @param aText The text.
 * @return The hash.
 */
[[nodiscard]] constexpr std::uint64_t
HashText(std::string_view aText) noexcept
{
  auto hash = kHashStart;
  for (const char letter : aText) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001B3ULL;
  }
  return hash;
}

} // namespace balsampoint
