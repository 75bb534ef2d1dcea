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
 * @return The entry, or null when it isn't held.
 */
[[nodiscard]] const Entry*
Find(const Log& aLog, Index aIndex);

/**
 * @brief Term of an entry.
 * @param aLog Log to read.
 * @param aIndex Index of the entry, or the one just before the first held.
 * @return The term, or nothing when it isn't known.
 */
[[nodiscard]] std::optional<Term>
TermAt(const Log& aLog, Index aIndex);

/**
 * @brief The group as of an entry.
 * @param aLog Log to read.
 * @param aIndex Index of the entry.
 * @return The members after that entry.
 */
[[nodiscard]] const Membership&
MembersAt(const Log& aLog, Index aIndex);

/**
 * @brief Copies entries that follow one another.
 * @param aLog Log to read.
 * @param aFrom Index of the first.
 * @param aMaxBytes Bound on the bytes of their commands; one entry is copied
 * even if it is larger.
 * @return The entries; empty past the end.
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
 * @brief Drops entries from the front.
 * @param aLog Log to change.
 * @param aThrough Index of the last to drop.
 */
void
Compact(Log& aLog, Index aThrough);

/**
 * @brief Empties the log to continue after a snapshot.
 * @param aLog Log to change.
 * @param aSnapshot What the log continues after.
 */
void
Reset(Log& aLog, const Snapshot& aSnapshot);

} // namespace balsampoint::consensus::internal
