#pragma once

#include <cstdint>

namespace balsampoint::exchange {

/** @brief How the connection to a server broke. */
enum class ServerBreak : std::uint8_t
{
  /** The server accepts other connections. */
  Reset,
  /** The server accepts none, or runs as another incarnation. */
  Crash,
};

} // namespace balsampoint::exchange
