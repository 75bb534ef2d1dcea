#include "balsampoint/stream/internal/fail.hpp"

#include "balsampoint/stream/internal/advance.hpp"
#include "balsampoint/stream/internal/recover.hpp"

namespace balsampoint::stream::internal {

void
HandleCallFailure(Progress& aProgress,
                  const CallFailed& aFailed,
                  Instant aNow,
                  std::vector<Action>& aActions)
{
  const auto& pending = aProgress.pending;
  if (!pending || pending->id != aFailed.id) {
    ++aProgress.counters.droppedReplies;
    return;
  }
  const auto import = pending->kind == CallKind::Import;
  if (!import || aFailed.kind == FailureKind::ConnectionLost) {
    HandleStageLoss(aProgress, aFailed.kind, aNow, aActions);
    return;
  }
  aProgress.attempt = aProgress.attempt.Next();
  for (auto& stage : aProgress.stages) {
    stage.importSource.clear();
  }
  Advance(aProgress, aNow, aActions);
}

void
HandleServerGone(Progress& aProgress,
                 const ServerGone& aGone,
                 Instant aNow,
                 std::vector<Action>& aActions)
{
  for (auto& stage : aProgress.stages) {
    stage.gone = stage.gone || (stage.stage.server == aGone.server &&
                                stage.stage.incarnation <= aGone.incarnation);
  }
  if (aProgress.pending && aProgress.stages[aProgress.currentStage].gone) {
    HandleStageLoss(aProgress, FailureKind::ConnectionLost, aNow, aActions);
  }
}

bool
FromOtherIncarnation(const Progress& aProgress, Incarnation aIncarnation)
{
  const auto& stage = aProgress.stages[aProgress.currentStage].stage;
  return aIncarnation != Incarnation{} && aIncarnation != stage.incarnation;
}

} // namespace balsampoint::stream::internal
