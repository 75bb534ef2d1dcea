#include "balsampoint/consensus/internal/log.hpp"

#include <algorithm>

namespace balsampoint::consensus::internal {

Index
LastIndex(const Log& aLog)
{
  return Index{ aLog.baseIndex.Value() + aLog.entries.size() };
}

Term
LastTerm(const Log& aLog)
{
  return aLog.entries.empty() ? aLog.baseTerm : aLog.entries.back().term;
}

const Entry*
Find(const Log& aLog, Index aIndex)
{
  if (aIndex <= aLog.baseIndex || aIndex > LastIndex(aLog)) {
    return nullptr;
  }
  return &aLog.entries[aIndex.Value() - aLog.baseIndex.Value() - 1];
}

std::optional<Term>
TermAt(const Log& aLog, Index aIndex)
{
  if (aIndex == aLog.baseIndex) {
    return aLog.baseTerm;
  }
  const auto* entry = Find(aLog, aIndex);
  return entry == nullptr ? std::nullopt : std::optional{ entry->term };
}

const Membership&
MembersAt(const Log& aLog, Index aIndex)
{
  const auto end = std::min(aIndex, LastIndex(aLog)).Value();
  for (auto index = end; index > aLog.baseIndex.Value(); --index) {
    const auto* entry = Find(aLog, Index{ index });
    if (entry->kind == EntryKind::Members) {
      return entry->members;
    }
  }
  return aLog.baseMembers;
}

std::vector<Entry>
Slice(const Log& aLog, Index aFrom, std::size_t aMaxBytes)
{
  std::vector<Entry> entries;
  std::size_t bytes = 0;
  for (auto index = aFrom; index <= LastIndex(aLog); index = index.Next()) {
    const auto* entry = Find(aLog, index);
    bytes += entry->command.size();
    if (!entries.empty() && bytes > aMaxBytes) {
      break;
    }
    entries.push_back(*entry);
  }
  return entries;
}

void
Truncate(Log& aLog, Index aFrom)
{
  while (LastIndex(aLog) >= aFrom && !aLog.entries.empty()) {
    aLog.entries.pop_back();
  }
}

void
Compact(Log& aLog, Index aThrough)
{
  while (!aLog.entries.empty() && aLog.entries.front().index <= aThrough) {
    auto& first = aLog.entries.front();
    aLog.baseIndex = first.index;
    aLog.baseTerm = first.term;
    if (first.kind == EntryKind::Members) {
      aLog.baseMembers = std::move(first.members);
    }
    aLog.entries.pop_front();
  }
}

void
Reset(Log& aLog, const Snapshot& aSnapshot)
{
  aLog.entries.clear();
  aLog.baseIndex = aSnapshot.index;
  aLog.baseTerm = aSnapshot.term;
  aLog.baseMembers = aSnapshot.members;
}

} // namespace balsampoint::consensus::internal
