#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balsampoint::config {

/** @brief An IP number and a TCP port. */
struct Address
{
  std::string ip;
  std::uint16_t port{};

  /**
   * @brief Reads `127.0.0.1:8080` or `[::1]:8080`.
   * @param aText The text; host names are refused.
   * @return The address, or nothing when the text isn't one.
   */
  [[nodiscard]] static std::optional<Address> Parse(std::string_view aText);

  /** @brief The text that `Parse` reads. */
  [[nodiscard]] std::string Text() const;

  auto operator<=>(const Address&) const = default;
};

} // namespace balsampoint::config
