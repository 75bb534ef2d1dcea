#pragma once

#include "balsampoint/wire/fields.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace balsampoint::wire {

/** @brief What begins a request. */
struct RequestHead
{
  std::string method;
  /** Path and query as the caller sent them. */
  std::string target;
  Fields fields;
  /** Whether the connection may take another request. */
  bool keepAlive{ true };
  /** Whether the caller understands chunks. */
  bool chunks{ true };

  /** @brief The path without the query. */
  [[nodiscard]] std::string_view Path() const
  {
    return std::string_view{ target }.substr(0, target.find('?'));
  }
};

/** @brief What begins an answer. */
struct ResponseHead
{
  std::uint16_t status{};
  std::string reason;
  Fields fields;
  /** Whether the connection may take another request. */
  bool keepAlive{ true };
  /** Whether the body ends only with the connection. */
  bool endsByClose{ false };

  /** @brief Whether the request succeeded. */
  [[nodiscard]] bool Success() const noexcept
  {
    return status >= 200 && status < 300;
  }
};

} // namespace balsampoint::wire
