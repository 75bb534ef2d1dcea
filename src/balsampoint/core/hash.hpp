#pragma once

#include <cstdint>
#include <string_view>

namespace balsampoint {

/** @brief First value of a hash that numbers are folded into. */
inline constexpr std::uint64_t kHashStart = 0xCBF29CE484222325ULL;

/**
 * @brief Folds a number into a hash.
 * @param aHash The hash so far.
 * @param aNumber The number.
 * @return The new hash.
 */
[[nodiscard]] constexpr std::uint64_t
HashNumber(std::uint64_t aHash, std::uint64_t aNumber) noexcept
{
  auto value = (aHash ^ aNumber) * 0x9E3779B97F4A7C15ULL;
  value ^= value >> 32U;
  return value * 0xD6E8FEB86659FD93ULL;
}

/**
 * @brief Hashes a text, the same on every host (FNV-1a).
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
