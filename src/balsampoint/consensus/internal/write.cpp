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
  aState.marks.push_back({ aState.lastWrite, LastIndex(aState.log) });
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
  aState.held.push_back({ aState.lastWrite, std::move(send) });
}

void
ForgetDurable(State& aState, Index aFrom)
{
  const Index last{ aFrom.Value() - 1 };
  aState.synced = std::min(aState.synced, last);
  for (auto& mark : aState.marks) {
    mark.lastIndex = std::min(mark.lastIndex, last);
  }
}

void
NoteDurable(State& aState, WriteNumber aWrite, Actions& aActions)
{
  aState.durableWrite = std::max(aState.durableWrite, aWrite);
  while (!aState.marks.empty() && aState.marks.front().write <= aWrite) {
    aState.synced = std::max(aState.synced, aState.marks.front().lastIndex);
    aState.marks.pop_front();
  }
  while (!aState.held.empty() && aState.held.front().write <= aWrite) {
    aActions.emplace_back(std::move(aState.held.front().send));
    aState.held.pop_front();
  }
}

} // namespace balsampoint::consensus::internal
