#pragma once

#include "balsampoint/ledger/state.hpp"

namespace balsampoint::ledger {

/**
 * @brief Looks up a key.
 * @param aTable Table to read.
 * @param aKey The key.
 * @return Its entry, valid until the table changes; null if there is none.
 */
[[nodiscard]] inline const Entry*
Find(const Table& aTable, const Key& aKey)
{
  const auto found = aTable.entries.find(aKey);
  return found == aTable.entries.end() ? nullptr : &found->second;
}

} // namespace balsampoint::ledger
