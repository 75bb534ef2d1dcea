#pragma once

#include "balsampoint/core/time.hpp"
#include "balsampoint/wire/parser.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace balsampoint::edge {

class MemoryAccount;

/** @brief Limits of a connection of a caller. */
struct CallerConnectionLimits
{
  wire::MessageLimits message;
  /** Longest time from the first byte of a request to the end of its head. */
  Duration requestTimeout{ std::chrono::seconds{ 3 } };
  /** Longest time from the end of the head to the end of the body. */
  Duration bodyTimeout{ std::chrono::seconds{ 10 } };
  /** Least bytes of the body per second, on average since the end of the head;
   * checked once the body has taken `requestTimeout`. */
  std::uint64_t bodyRate{ std::uint64_t{ 16 } * 1024 };
  /** Time after which a connection without a request is closed. */
  Duration idleTimeout{ std::chrono::seconds{ 15 } };
  /** Time that sent bytes may stay unacknowledged. */
  Duration ackTimeout{ std::chrono::seconds{ 4 } };
  /** Response bytes that may be queued behind others for a slow caller; with
   * more, the connection is reset. One part of a response may be larger. */
  std::size_t maxQueuedBytes{ std::size_t{ 1024 } * 1024 };
  /** Account of the bytes that connections hold; null for none. */
  MemoryAccount* memory{ nullptr };
};

} // namespace balsampoint::edge
