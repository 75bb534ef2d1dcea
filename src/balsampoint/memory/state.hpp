#pragma once

#include "balsampoint/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace balsampoint::memory {

/** @brief Parameters of the decisions; constant while the host runs. */
struct Settings
{
  /** Bytes that all holders together may hold. */
  std::uint64_t budgetBytes{ std::uint64_t{ 64 } * 1024 * 1024 };
  /** Part of the budget that only small holders may use. */
  std::uint64_t reservedBytes{ std::uint64_t{ 32 } * 1024 * 1024 };
  /** Most bytes of a small holder. The reserve has room for this number of
   * bytes on each connection, so that a small holder always may grow. */
  std::uint64_t smallBytes{ std::uint64_t{ 16 } * 1024 };
  /** Bytes that a holder must receive or send to count as not stalled. */
  std::uint64_t progressBytes{ std::uint64_t{ 16 } * 1024 };
  /** Time without that progress after which a holder counts as stalled. A
   * network with lost packets retransmits within this time. */
  Duration patience{ std::chrono::milliseconds{ 500 } };
};

/** @brief What the bytes of a holder are for. */
enum class Work : std::uint8_t
{
  /** A message that has not arrived completely: nothing was done with it. */
  Receiving,
  /** A request in progress or the response of a server. */
  Running,
  /** Bytes that the peer has not read. */
  Sending,
};

/** @brief One connection. */
struct Holder
{
  std::uint64_t bytes{};
  Work work{ Work::Receiving };
  /** Bytes received or sent since `progressAt`. */
  std::uint64_t moved{};
  /** When it last made progress. */
  Instant progressAt{};
  /** Whether it is no longer read because it may not grow. */
  bool paused{ false };
  /** Whether it was chosen to be refused or cut. */
  bool ending{ false };
};

/** @brief Identifies a holder. */
using HolderId = std::uint64_t;

/** @brief Owned by one thread with connections. */
struct State
{
  Settings settings;
  std::map<HolderId, Holder> holders;
  HolderId nextId{ 1 };
  /** Bytes of all holders. */
  std::uint64_t heldBytes{};
  /** Bytes of the holders that are not small. */
  std::uint64_t largeBytes{};
  /** Holders that are no longer read. Counted here, since each report of a
   * holder asks for it, and a search would cost in proportion to the holders.
   */
  std::size_t pausedHolders{};
};

/** @brief How the bytes of a holder are released. */
enum class Relief : std::uint8_t
{
  /** The request is refused; it has not run. */
  Refuse,
  /** The connection is reset, which shows that a response is incomplete. */
  Cut,
};

/** @brief A holder that must release its bytes. */
struct Action
{
  HolderId holder{};
  Relief relief{ Relief::Refuse };
  /** Bytes that it holds. */
  std::uint64_t bytes{};

  bool operator==(const Action&) const = default;
};

} // namespace balsampoint::memory
