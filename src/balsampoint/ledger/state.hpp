#pragma once

#include "balsampoint/core/time.hpp"
#include "balsampoint/ledger/key.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace balsampoint::ledger {

/** @brief Limits of the table; must be equal on all replicas. */
struct Bounds
{
  /** Retention of a claimed or recorded key, in the table's time. */
  Duration retention{ std::chrono::hours{ 24 } };
  /** Retention of a released claim, in the table's time. */
  Duration releasedRetention{ std::chrono::minutes{ 10 } };
  /** Largest number of keys. */
  std::uint64_t maxEntries{ 100'000 };
  /** Largest number of keys of one workspace. */
  std::uint64_t maxWorkspaceEntries{ 25'000 };
  /** Largest total size of keys and answers, in bytes. */
  std::uint64_t maxBytes{ 64ULL << 20U };
  /** Largest answer, headers and body, in bytes; only the status is stored of
   * a larger one. */
  std::uint64_t maxAnswerBytes{ 16ULL << 10U };
  /** Largest length of a key in bytes. */
  std::uint64_t maxKeyBytes{ 255 };

  auto operator<=>(const Bounds&) const = default;
};

/** @brief State of a key. */
enum class Phase : std::uint8_t
{
  /** Claimed; the call may have been executed. */
  Claimed,
  /** The call was executed and its answer is stored. */
  Recorded,
  /** The claim was released; the call was not executed. */
  Released,
};

/**
 * @brief Expiry of an entry inserted since the last step of the table's time.
 *
 * The table's time lags behind real time, and the step that catches up must
 * not count towards an entry inserted meanwhile. The retention of an entry
 * therefore starts with the first step after its insertion.
 */
inline constexpr Duration kNoExpiryYet = Duration::max();

/** @brief Entry of one key. */
struct Entry
{
  Digest digest{};
  ClaimId claim;
  Phase phase{ Phase::Claimed };
  StoredAnswer answer;
  /** The table's time at which the entry is removed. */
  Duration expiry{ kNoExpiryYet };

  auto operator<=>(const Entry&) const = default;
};

/** @brief Space used by one workspace or by the whole table. */
struct Usage
{
  std::uint64_t entries{};
  /** Size of keys and answers, with `kEntryOverheadBytes` for each entry. */
  std::uint64_t bytes{};

  auto operator<=>(const Usage&) const = default;
};

/** @brief The replicated table of keys, determined by the applied commands. */
struct Table
{
  Bounds bounds;
  /** Elapsed time of the table; never ahead of the real elapsed time. */
  Duration time{};
  std::map<Key, Entry> entries;
  /** Keys ordered by the expiry of their entries. */
  std::set<std::pair<Duration, Key>> expiries;
  std::map<WorkspaceId, Usage> workspaces;
  Usage total;
};

/** @brief Bytes counted for an entry in addition to its strings. */
inline constexpr std::uint64_t kEntryOverheadBytes = 512;

} // namespace balsampoint::ledger
