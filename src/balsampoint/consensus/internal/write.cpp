#include "balsampoint/consensus/internal/write.hpp"

#include "balsampoint/consensus/internal/log.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::consensus::internal {

void
Write(State& aState, Persist aPersist, Actions& aActions)
{
  if (aState.storageFailed && !aPersist.resume) {
    return;
  }
  aState.lastWrite = aState.lastWrite.Next();
  aPersist.write = aState.lastWrite;
  aState.pendingWrites.push_back({ aState.lastWrite, LastIndex(aState.log) });
  aActions.emplace_back(std::move(aPersist));
}

void
WriteHardState(State& aState, Actions& aActions)
{
  Write(aState, Persist{ .hard = aState.hard }, aActions);
}

void
SendWhenDurable(State& aState,
                const HostId& aTo,
                Message aMessage,
                Actions& aActions)
{
  Send send{ aTo, std::move(aMessage) };
  if (aState.storageFailed) {
    return;
  }
  if (aState.durableWrite == aState.lastWrite) {
    aActions.emplace_back(std::move(send));
    return;
  }
  aState.deferredSends.push_back({ aState.lastWrite, std::move(send) });
}

void
MarkNotDurable(State& aState, Index aFrom)
{
  const Index last{ aFrom.Value() - 1 };
  aState.durableIndex = std::min(aState.durableIndex, last);
  for (auto& pending : aState.pendingWrites) {
    pending.lastIndex = std::min(pending.lastIndex, last);
  }
}

void
MarkDurable(State& aState, WriteNumber aWrite, Actions& aActions)
{
  aState.durableWrite = std::max(aState.durableWrite, aWrite);
  while (!aState.pendingWrites.empty() &&
         aState.pendingWrites.front().write <= aWrite) {
    aState.durableIndex =
      std::max(aState.durableIndex, aState.pendingWrites.front().lastIndex);
    aState.pendingWrites.pop_front();
  }
  while (!aState.deferredSends.empty() &&
         aState.deferredSends.front().write <= aWrite) {
    aActions.emplace_back(std::move(aState.deferredSends.front().send));
    aState.deferredSends.pop_front();
  }
}

} // namespace balsampoint::consensus::internal
