#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/fleet/chain.hpp"
#include "balsampoint/roster/claim.hpp"
#include "balsampoint/routing/document.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace balsampoint::fleet {

/** @brief Weights of the choice of servers. */
struct Settings
{
  ZoneId zone;
  /** Added to the time of an event for each change of zone in a chain, in ms:
   * all transfers between two zones share one link, which is soon full. */
  double zoneChangeMs{ 60.0 };
  /** Added where the first server is in another zone than this host, in ms. */
  double farEntryMs{ 3.0 };
  /** Added to the time of an event for each server, in ms. */
  double hopMs{ 0.6 };
  /** Part of an expected answer for which KV is set aside; requests in
   * progress have written half of theirs on average. By the rounds of
   * 2026-12-04 in docs/benchmarks.md. */
  double answerShare{ 0.3 };
  /** Part of a server's KV that is given out at most. */
  double kvShare{ 0.95 };
  /** How long a server at fault is left out; doubles with each fault. */
  Duration firstAvoidance{ std::chrono::milliseconds{ 500 } };
  Duration longestAvoidance{ std::chrono::seconds{ 8 } };
  /** How long a server without room is left out; doubles with each refusal in
   * a row. */
  Duration fullAvoidance{ std::chrono::milliseconds{ 150 } };
  Duration longestFullAvoidance{ std::chrono::milliseconds{ 1200 } };
  /** Most by which a server's cost is drawn higher for one choice, as a part of
   * it: hosts that know the same of the servers choose different chains. */
  double spread{ 0.3 };
  /** Answers in a row that break off before a server is left out. */
  std::uint32_t brokenToAvoid{ 3 };
  /** Bounds on the time after which a refused request may come back: hosts
   * learn of each other's work in the first, streams end in the second. */
  Duration shortestReturn{ std::chrono::milliseconds{ 250 } };
  Duration longestReturn{ std::chrono::seconds{ 2 } };
  /** Weight of the newest outcome in a server's rate of failures. */
  double failureWeight{ 0.15 };
};

/** @brief Requests in progress on one server. */
struct Work
{
  /** Requests that pass through it. */
  std::uint32_t passing{};
  /** Requests sent to it. */
  std::uint32_t sent{};
  /** KV of these requests, in tokens times layers. */
  double kv{};
};

/** @brief One server and the work on it. */
struct Server
{
  roster::Claim claim;
  /** Whether new work may go to it. */
  bool ready{ false };
  /** Multiplies the time of steps; 1 for plain servers. */
  double stepFactor{ 1.0 };
  double readFactor{ 1.0 };
  /** KV that fits beside its layers, in tokens times layers. */
  double kvRoom{};
  /** Work of this thread. */
  Work own;
  /** Work of other hosts, as they last told. */
  Work others;
  /** Part of the newest requests that failed. */
  double failureRate{};
  /** Times it was left out without a good answer in between. */
  std::uint32_t faults{};
  /** Times it took no connection, without a sign of life in between. */
  std::uint32_t misses{};
  /** Requests refused for want of room in a row. */
  std::uint32_t refusals{};
  /** Answers that broke off in a row. */
  std::uint32_t broken{};
  /** Own streams that write through it. */
  std::uint32_t streams{};
  /** When the last event of an own stream passed through it. */
  Instant progressAt{ Instant::min() };
  /** Usual time between two events of a stream through it, in ms. */
  double eventMs{ 60.0 };
  /** When it last took a connection that was made to test it. */
  Instant testedAt{ Instant::min() };
  Instant avoidUntil{ Instant::min() };
  /** Until when it is taken to have no room. */
  Instant fullUntil{ Instant::min() };
  /** Until when it counts as out of reach. */
  Instant unreachableUntil{ Instant::min() };

  /** @brief Whether it is left out for now, although it is ready. */
  [[nodiscard]] bool LeftOut(Instant aNow) const noexcept
  {
    return avoidUntil > aNow || Unable(aNow);
  }

  /** @brief Whether a request to it is sure to fail for now. */
  [[nodiscard]] bool Unable(Instant aNow) const noexcept
  {
    return std::max(fullUntil, unreachableUntil) > aNow;
  }

  /** @brief Requests that pass through it. */
  [[nodiscard]] double Passing() const noexcept
  {
    return own.passing + others.passing;
  }

  /** @brief Requests sent to it. */
  [[nodiscard]] double Sent() const noexcept { return own.sent + others.sent; }

  /** @brief KV of all requests, in tokens times layers. */
  [[nodiscard]] double KvUsed() const noexcept { return own.kv + others.kv; }
};

/** @brief Servers of one service. */
struct Group
{
  std::optional<routing::EngineProfile> engine;
  std::map<ServerId, Server> servers;
  /** When an own request last began to write. */
  Instant begunAt{ Instant::min() };
};

/** @brief The servers of all services; owned by one traffic thread. */
struct State
{
  Settings settings;
  std::map<ServiceId, Group> groups;
};

} // namespace balsampoint::fleet
