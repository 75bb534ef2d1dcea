#include "balsampoint/memory/command/record_holder.hpp"

#include "balsampoint/memory/internal/sizes.hpp"

namespace balsampoint::memory {

namespace {

void
SetBytes(State& aState, Holder& aHolder, std::uint64_t aBytes)
{
  if (internal::IsLarge(aState, aHolder)) {
    aState.largeBytes -= aHolder.bytes;
  }
  aState.heldBytes -= aHolder.bytes;
  aHolder.bytes = aBytes;
  aState.heldBytes += aBytes;
  if (internal::IsLarge(aState, aHolder)) {
    aState.largeBytes += aBytes;
  }
}

} // namespace

HolderId
AddHolder(State& aState, Instant aNow)
{
  const auto id = aState.nextId++;
  aState.holders[id].progressAt = aNow;
  return id;
}

void
RecordHolder(State& aState, HolderId aId, const Report& aReport, Instant aNow)
{
  const auto found = aState.holders.find(aId);
  if (found == aState.holders.end()) {
    return;
  }
  auto& holder = found->second;
  holder.moved += aReport.moved;
  // Progress counts by the piece: a peer that sends one byte at a time, each
  // before its patience ends, would never be stalled otherwise.
  if (holder.work != aReport.work || holder.bytes == 0 ||
      holder.moved >= aState.settings.progressBytes) {
    holder.moved = 0;
    holder.progressAt = aNow;
  }
  holder.work = aReport.work;
  SetBytes(aState, holder, aReport.bytes);
}

void
SetPaused(State& aState, HolderId aId, bool aPaused, Instant aNow)
{
  const auto found = aState.holders.find(aId);
  if (found == aState.holders.end()) {
    return;
  }
  auto& holder = found->second;
  aState.pausedHolders -= holder.paused ? 1 : 0;
  aState.pausedHolders += aPaused ? 1 : 0;
  if (holder.paused && !aPaused) {
    // The time of the pause is not the peer's.
    holder.moved = 0;
    holder.progressAt = aNow;
  }
  holder.paused = aPaused;
}

void
RemoveHolder(State& aState, HolderId aId)
{
  const auto found = aState.holders.find(aId);
  if (found == aState.holders.end()) {
    return;
  }
  SetBytes(aState, found->second, 0);
  aState.pausedHolders -= found->second.paused ? 1 : 0;
  aState.holders.erase(found);
}

} // namespace balsampoint::memory
