#pragma once

#include "balsampoint/core/time.hpp"
#include "balsampoint/ledger/key.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace balsampoint::ledger {

/** @brief Limits of the table; every replica must have the same. */
struct Bounds
{
  /** How long a key is remembered from its claim, in the table's time. */
  Duration window{ std::chrono::hours{ 24 } };
  /** How long a released claim's name is remembered. */
  Duration releasedWindow{ std::chrono::minutes{ 10 } };
  /** Keys held at most. */
  std::uint64_t entries{ 100'000 };
  /** Keys held for one workspace at most. */
  std::uint64_t workspaceEntries{ 25'000 };
  /** Bytes held at most, keys and answers together. */
  std::uint64_t bytes{ 64ULL << 20U };
  /** Headers and body of one answer in bytes; larger ones are not kept. */
  std::uint64_t answerBytes{ 16ULL << 10U };
  /** Length of a key at most. */
  std::uint64_t keyBytes{ 255 };

  auto operator<=>(const Bounds&) const = default;
};

/** @brief What is known of a key. */
enum class Phase : std::uint8_t
{
  /** Claimed; the call may have run. */
  Claimed,
  /** The call ran and its answer is kept. */
  Recorded,
  /** The claim was given back; the call never began. */
  Released,
};

/**
 * @brief Expiry of an entry that has not seen a step of the table's time.
 *
 * The table's time lags behind, and the step that catches up must not age an
 * entry made meanwhile; so its window starts with the first step after it.
 */
inline constexpr Duration kNotAged = Duration::max();

/** @brief One key of the table. */
struct Entry
{
  Digest digest{};
  ClaimId claim;
  Phase phase{ Phase::Claimed };
  StoredAnswer answer;
  /** The table's time at which the key is forgotten. */
  Duration expiry{ kNotAged };

  auto operator<=>(const Entry&) const = default;
};

/** @brief What a workspace or the whole table holds. */
struct Usage
{
  std::uint64_t entries{};
  std::uint64_t bytes{};

  auto operator<=>(const Usage&) const = default;
};

/** @brief All keys; a function of the commands applied, in their order. */
struct Table
{
  Bounds bounds;
  /** Time that has passed for the table; never more than really passed. */
  Duration time{};
  std::map<Key, Entry> entries;
  /** Entries in the order of their expiry. */
  std::set<std::pair<Duration, Key>> expiries;
  std::map<WorkspaceId, Usage> workspaces;
  Usage total;
};

/** @brief Bytes counted for an entry beside its strings. */
inline constexpr std::uint64_t kEntryOverheadBytes = 512;

} // namespace balsampoint::ledger
