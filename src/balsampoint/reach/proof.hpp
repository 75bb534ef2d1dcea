#pragma once

#include <cstdint>

namespace balsampoint::reach {

/** @brief What a connection has to show for its server to count as reached. */
enum class Proof : std::uint8_t
{
  /** It stays open. */
  Open,
  /** It stays open, and bytes sent on it are acknowledged, twice and a while
   * apart: the kernel, or something on the way, may accept connections on which
   * nothing passes, or only the first bytes. Where the kernel doesn't tell, the
   * open connection is enough. */
  Acknowledged,
};

/** @brief What the connections of one check of the link have shown. */
enum class CheckResult : std::uint8_t
{
  /** A server was reached. */
  Reached,
  /** No connection was established, or none stayed open. */
  Refused,
  /** None was reached, and a connection stood but passed nothing. */
  Silent,
};

} // namespace balsampoint::reach
