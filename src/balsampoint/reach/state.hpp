#pragma once

#include "balsampoint/core/time.hpp"
#include "balsampoint/reach/detour.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsampoint::reach {

/** @brief Parameters of the decisions; constant while the host runs. */
struct Settings
{
  ZoneId zone;
  /** Time that sent bytes may stay unacknowledged before the connection counts
   * as silent: several times the latency between regions. The kernel
   * acknowledges for a slow server. */
  Duration ackTimeout{ std::chrono::milliseconds{ 100 } };
  /** Time for which requests may wait, while no server sends a byte, before the
   * link is checked. */
  Duration quietTime{ std::chrono::milliseconds{ 300 } };
  /** Servers that one check of the link connects to. */
  std::size_t checkedServers{ 4 };
  /** The same while the link is down, when one that answers is enough. */
  std::size_t checkedWhileDown{ 2 };
  /** Shortest time between the starts of two checks. */
  Duration checkInterval{ std::chrono::milliseconds{ 200 } };
  /** Time without a new connection after which one is opened as a check, so
   * that other hosts are told the truth. */
  Duration idleCheckInterval{ std::chrono::seconds{ 1 } };
  /** Age up to which a new connection proves that the link is up. */
  Duration proofTime{ std::chrono::milliseconds{ 1500 } };
  /** Successful checks in a row after which the link is up again. Hysteresis
   * keeps it from changing with every connection while packets are lost. */
  std::uint32_t checksToRecover{ 2 };
  /** Time for which a detour is avoided after it has failed. */
  Duration detourAvoidance{ std::chrono::milliseconds{ 700 } };
  /** Age at which the list of detours expires. */
  Duration detourTimeout{ std::chrono::seconds{ 5 } };
};

/** @brief Whether this host can open connections to servers. */
enum class Link : std::uint8_t
{
  Up,
  /** No server that was tried keeps a new connection open and acknowledges what
   * is sent on it. */
  Down,
};

/** @brief Use of one detour by this thread. */
struct DetourUse
{
  /** Connections through it that are open or being opened. */
  std::uint32_t connections{};
  Instant avoidUntil{ Instant::min() };
};

/** @brief Owned by one traffic thread. */
struct State
{
  Settings settings;
  Link link{ Link::Up };
  /** When the link last changed. */
  Instant changedAt{ Instant::min() };
  /** When a server last kept a new connection open. */
  Instant connectedAt{ Instant::min() };
  /** When the last check was started. */
  Instant checkedAt{ Instant::min() };
  /** When any server last sent a byte to this host. */
  Instant heardAt{ Instant::min() };
  /** When the oldest request without a byte of its answer was sent; absent if
   * there is none. */
  std::optional<Instant> awaitedSince;
  /** Servers that don't acknowledge what was sent to them. */
  std::size_t silentServers{};
  /** Whether connections that passed nothing have shown that the link is down.
   */
  bool silent{ false };
  /** Successful checks in a row since the link went down. */
  std::uint32_t successes{};
  /** Hosts that say that they reach servers. */
  std::vector<Detour> detours;
  /** When the list was last received. */
  Instant listedAt{ Instant::min() };
  /** Use of detours by address. */
  std::map<std::string, DetourUse, std::less<>> uses;
};

} // namespace balsampoint::reach
