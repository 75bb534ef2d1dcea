#pragma once

#include "balsampoint/consensus/state.hpp"

#include <optional>

namespace balsampoint::consensus::internal {

/**
 * @brief Index of the last entry.
 * @param aLog Log to read.
 */
[[nodiscard]] Index
LastIndex(const Log& aLog);

/**
 * @brief Term of the last entry.
 * @param aLog Log to read.
 */
[[nodiscard]] Term
LastTerm(const Log& aLog);

/**
 * @brief Looks up an entry.
 * @param aLog Log to read.
 * @param aIndex Index of the entry.
 * @return The entry, or null if it is not in memory.
 */
[[nodiscard]] const Entry*
Find(const Log& aLog, Index aIndex);

/**
 * @brief Term of an entry.
 * @param aLog Log to read.
 * @param aIndex Index of the entry, or of the one just before the first in
 * memory.
 * @return The term, or nothing if the entry is not in memory.
 */
[[nodiscard]] std::optional<Term>
TermAt(const Log& aLog, Index aIndex);

/**
 * @brief Members of the group as of an entry.
 * @param aLog Log to read.
 * @param aIndex Index of the entry.
 * @return The members that this entry, or the last change before it, set.
 */
[[nodiscard]] const Membership&
MembersAt(const Log& aLog, Index aIndex);

/**
 * @brief Copies consecutive entries.
 * @param aLog Log to read.
 * @param aFrom Index of the first entry.
 * @param aMaxBytes Limit on the total size of their commands in bytes; the
 * first entry is copied even if it is larger.
 * @return The entries; empty if `aFrom` is past the end.
 */
[[nodiscard]] std::vector<Entry>
Slice(const Log& aLog, Index aFrom, std::size_t aMaxBytes);

/**
 * @brief Drops all entries from an index on.
 * @param aLog Log to change.
 * @param aFrom Index of the first to drop.
 */
void
Truncate(Log& aLog, Index aFrom);

/**
 * @brief Drops all entries up to an index.
 * @param aLog Log to change.
 * @param aThrough Index of the last to drop.
 */
void
Compact(Log& aLog, Index aThrough);

/**
 * @brief Clears the log and sets its base to a snapshot.
 * @param aLog Log to change.
 * @param aSnapshot Snapshot that the next entry follows.
 */
void
Reset(Log& aLog, const Snapshot& aSnapshot);

} // namespace balsampoint::consensus::internal
