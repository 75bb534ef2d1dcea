#include "balsampoint/consensus/command/storage.hpp"

#include "balsampoint/consensus/command/apply.hpp"
#include "balsampoint/consensus/command/elect.hpp"
#include "balsampoint/consensus/command/replicate.hpp"
#include "balsampoint/consensus/internal/log.hpp"
#include "balsampoint/consensus/internal/write.hpp"

#include <algorithm>
#include <limits>

namespace balsampoint::consensus {

void
HandleWriteCompleted(State& aState,
                     const WriteCompleted& aEvent,
                     Instant aNow,
                     Actions& aActions)
{
  internal::MarkDurable(aState, aEvent.write, aActions);
  if (aState.storageFailed && aEvent.write >= aState.resumeWrite) {
    aState.storageFailed = false;
    aState.storageRetryAt = kNever;
    ResetElection(aState, aNow);
  }
  if (aState.role == Role::Leader) {
    AfterReply(aState, aNow, aActions);
    return;
  }
  CountOwnVote(aState, aNow, aActions);
  ApplyCommitted(aState, aNow, aActions);
}

void
HandleStorageFailure(State& aState,
                     const StorageFailure& aEvent,
                     Instant aNow,
                     Actions& aActions)
{
  if (aEvent.write < aState.resumeWrite) {
    return;
  }
  aState.storageFailed = true;
  aState.resumeWrite = aState.lastWrite.Next();
  aState.storageRetryAt = aNow + aState.settings.storageRetryInterval;
  aState.deferredSends.clear();
  aState.pendingWrites.clear();
  BecomeFollower(aState, aState.hard.term, {}, aNow, aActions);
}

void
ResumeStorage(State& aState, Instant aNow, Actions& aActions)
{
  aState.storageRetryAt = aNow + aState.settings.storageRetryInterval;
  const auto from = std::max(aState.durableIndex, aState.log.baseIndex).Next();
  Persist persist{
    .hard = aState.hard,
    .truncate = true,
    .truncateFrom = from,
    .resume = true,
    .entries =
      internal::Slice(aState.log, from, std::numeric_limits<std::size_t>::max())
  };
  if (aState.snapshot.index != Index{}) {
    persist.snapshot = aState.snapshot;
  }
  internal::Write(aState, std::move(persist), aActions);
}

} // namespace balsampoint::consensus
