#include "balsampoint/ledger/command/apply.hpp"

#include "balsampoint/ledger/internal/answer_size.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace balsampoint::ledger {

namespace {

std::uint64_t
EntryBytes(const Key& aKey, const Entry& aEntry)
{
  return kEntryOverheadBytes + aKey.workspace.Value().size() +
         aKey.service.Value().size() + aKey.value.size() +
         internal::AnswerBytes(aEntry.answer);
}

void
Remove(Table& aTable, std::map<Key, Entry>::iterator aAt)
{
  const auto bytes = EntryBytes(aAt->first, aAt->second);
  auto& usage = aTable.workspaces[aAt->first.workspace];
  for (auto* each : { &usage, &aTable.total }) {
    each->entries -= 1;
    each->bytes -= bytes;
  }
  if (usage.entries == 0) {
    aTable.workspaces.erase(aAt->first.workspace);
  }
  aTable.expiries.erase({ aAt->second.expiry, aAt->first });
  aTable.entries.erase(aAt);
}

bool
HasRoom(const Table& aTable, const Key& aKey)
{
  const auto usage = aTable.workspaces.find(aKey.workspace);
  const auto own = usage == aTable.workspaces.end() ? 0 : usage->second.entries;
  const auto bytes = EntryBytes(aKey, Entry{});
  return own < aTable.bounds.maxWorkspaceEntries &&
         aTable.total.entries < aTable.bounds.maxEntries &&
         aTable.total.bytes + bytes <= aTable.bounds.maxBytes;
}

Outcome
Start(Table& aTable, const Claim& aClaim)
{
  if (!HasRoom(aTable, aClaim.key)) {
    return MakeError(ErrorKind::LedgerFull,
                     "the table of idempotency keys or the workspace's share "
                     "of it is full");
  }
  Insert(aTable,
         aClaim.key,
         Entry{ .digest = aClaim.digest,
                .claim = aClaim.id,
                .phase = Phase::Claimed,
                .answer = {},
                .expiry = kNoExpiryYet });
  return Granted{};
}

Outcome
ApplyTo(Table& aTable, const Claim& aClaim)
{
  if (aClaim.key.value.empty() ||
      aClaim.key.value.size() > aTable.bounds.maxKeyBytes) {
    return MakeError(ErrorKind::BadRequest,
                     "the idempotency key is empty or too long");
  }
  const auto found = aTable.entries.find(aClaim.key);
  if (found == aTable.entries.end()) {
    return Start(aTable, aClaim);
  }
  const auto& entry = found->second;
  if (entry.phase == Phase::Released) {
    if (entry.claim == aClaim.id) {
      return MakeError(ErrorKind::Cancelled, "the claim was released before");
    }
    Remove(aTable, found);
    return Start(aTable, aClaim);
  }
  if (entry.digest != aClaim.digest) {
    return MakeError(ErrorKind::KeyReused,
                     "the idempotency key was used with another method, path "
                     "or body");
  }
  if (entry.phase == Phase::Recorded) {
    return Repeated{ entry.answer };
  }
  if (entry.claim == aClaim.id) {
    return Granted{};
  }
  return InDoubt{ entry.claim };
}

Outcome
ApplyTo(Table& aTable, const Record& aRecord)
{
  const auto found = aTable.entries.find(aRecord.key);
  if (found == aTable.entries.end() || found->second.claim != aRecord.id ||
      found->second.phase != Phase::Claimed) {
    return Done{};
  }
  auto entry = found->second;
  entry.phase = Phase::Recorded;
  const auto room = aTable.bounds.maxBytes - aTable.total.bytes;
  entry.answer = internal::LimitAnswerSize(
    aRecord.answer, std::min(aTable.bounds.maxAnswerBytes, room));
  Remove(aTable, found);
  Insert(aTable, aRecord.key, std::move(entry));
  return Done{};
}

Outcome
ApplyTo(Table& aTable, const Release& aRelease)
{
  const auto found = aTable.entries.find(aRelease.key);
  const Entry released{ .digest = {},
                        .claim = aRelease.id,
                        .phase = Phase::Released,
                        .answer = {},
                        .expiry = kNoExpiryYet };
  if (found == aTable.entries.end()) {
    // The claim may still be in flight; this entry keeps it from being
    // granted if it is applied later.
    if (HasRoom(aTable, aRelease.key)) {
      Insert(aTable, aRelease.key, released);
    }
    return Done{};
  }
  if (found->second.claim != aRelease.id ||
      found->second.phase != Phase::Claimed) {
    return Done{};
  }
  Remove(aTable, found);
  Insert(aTable, aRelease.key, released);
  return Done{};
}

/** Sets the expiry of all entries inserted since the last time step. */
void
StartRetention(Table& aTable)
{
  while (!aTable.expiries.empty() &&
         aTable.expiries.rbegin()->first == kNoExpiryYet) {
    auto last = aTable.expiries.extract(std::prev(aTable.expiries.end()));
    auto& entry = aTable.entries.at(last.value().second);
    entry.expiry = aTable.time + (entry.phase == Phase::Released
                                    ? aTable.bounds.releasedRetention
                                    : aTable.bounds.retention);
    last.value().first = entry.expiry;
    aTable.expiries.insert(std::move(last));
  }
}

Outcome
ApplyTo(Table& aTable, const TimeStep& aStep)
{
  if (aStep.from != aTable.time || aStep.by <= Duration::zero()) {
    return Done{};
  }
  aTable.time += aStep.by;
  StartRetention(aTable);
  while (!aTable.expiries.empty() &&
         aTable.expiries.begin()->first <= aTable.time) {
    Remove(aTable, aTable.entries.find(aTable.expiries.begin()->second));
  }
  return Done{};
}

} // namespace

void
Insert(Table& aTable, const Key& aKey, Entry aEntry)
{
  const auto bytes = EntryBytes(aKey, aEntry);
  for (auto* each : { &aTable.workspaces[aKey.workspace], &aTable.total }) {
    each->entries += 1;
    each->bytes += bytes;
  }
  aTable.expiries.emplace(aEntry.expiry, aKey);
  aTable.entries.insert_or_assign(aKey, std::move(aEntry));
}

Outcome
Apply(Table& aTable, const Command& aCommand)
{
  return std::visit(
    [&aTable](const auto& aEach) { return ApplyTo(aTable, aEach); }, aCommand);
}

} // namespace balsampoint::ledger
