#pragma once

#include "balsampoint/wire/fields.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace balsampoint::wire {

/** @brief Request line and header fields of a request. */
struct RequestHead
{
  std::string method;
  /** Request target: path and query as received. */
  std::string target;
  Fields fields;
  /** Whether the connection can be used for another request. */
  bool keepAlive{ true };
  /** Whether the sender supports chunked encoding, as of HTTP/1.1. */
  bool acceptsChunked{ true };

  /** @brief Path of the target, without the query. */
  [[nodiscard]] std::string_view Path() const
  {
    return std::string_view{ target }.substr(0, target.find('?'));
  }
};

/** @brief Status line and header fields of a response. */
struct ResponseHead
{
  /** Number in place of the status; 0 unless it has three digits. */
  std::uint16_t status{};
  /** Reason phrase; may be empty. */
  std::string reason;
  Fields fields;
  /** Whether the connection can be used for another request. */
  bool keepAlive{ true };
  /** Whether the end of the connection marks the end of the body. */
  bool endsByClose{ false };

  /** @brief Whether the number in place of the status is one. */
  [[nodiscard]] bool HasStatus() const noexcept
  {
    return status >= 100 && status < 600;
  }

  /** @brief Whether the status is 1xx, so that it isn't the final response. */
  [[nodiscard]] bool Interim() const noexcept
  {
    return status >= 100 && status < 200;
  }

  /** @brief Whether the status is 2xx. */
  [[nodiscard]] bool Success() const noexcept
  {
    return status >= 200 && status < 300;
  }

  /** @brief Whether the status is 4xx. */
  [[nodiscard]] bool ClientError() const noexcept
  {
    return status >= 400 && status < 500;
  }
};

} // namespace balsampoint::wire
