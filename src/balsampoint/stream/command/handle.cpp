#include "balsampoint/stream/command/handle.hpp"

namespace balsampoint::stream::internal {

namespace {

/** Handles the events of an answer that has not ended, by type. */
class CommonHandler
{
public:
  CommonHandler(Progress& aProgress,
                Instant aNow,
                std::vector<Action>& aActions)
    : mProgress{ aProgress }
    , mNow{ aNow }
    , mActions{ aActions }
  {
  }

  void operator()(const StepReplied& /*aReplied*/) {}

  void operator()(const ReplayReplied& aReplied)
  {
    const auto& reply = aReplied.reply;
    if (!AcceptReply(mProgress, reply.id, CallKind::Replay)) {
      return;
    }
    if (FromOtherIncarnation(mProgress, reply.incarnation)) {
      HandleStageLoss(mProgress, FailureKind::ConnectionLost, mNow, mActions);
      return;
    }
    ApplyReplay(mProgress, reply, mNow, mActions);
  }

  void operator()(const Imported& aImported)
  {
    if (AcceptReply(mProgress, aImported.id, CallKind::Import)) {
      ApplyImport(mProgress, mNow, mActions);
    }
  }

  void operator()(const CallFailed& aFailed)
  {
    HandleCallFailure(mProgress, aFailed, mNow, mActions);
  }

  void operator()(const ServerGone& aGone)
  {
    HandleServerGone(mProgress, aGone, mNow, mActions);
  }

  void operator()(const RouteChosen& aChosen)
  {
    if (InstallRoute(mProgress, aChosen, mNow, mActions)) {
      Advance(mProgress, mNow, mActions);
    }
  }

  void operator()(const CallerGone& /*aGone*/)
  {
    GiveUp(mProgress,
           MakeError(ErrorKind::Cancelled, "the caller closed the connection"),
           mNow,
           mActions);
  }

  void operator()(const DeadlinePassed& /*aPassed*/)
  {
    GiveUp(mProgress,
           MakeError(ErrorKind::DeadlineExceeded, "the answer took too long"),
           mNow,
           mActions);
  }

private:
  Progress& mProgress;
  Instant mNow;
  std::vector<Action>& mActions;
};

bool
IsReply(const Event& aEvent)
{
  return std::holds_alternative<ReplayReplied>(aEvent) ||
         std::holds_alternative<Imported>(aEvent) ||
         std::holds_alternative<CallFailed>(aEvent);
}

/** Whether an answer is still active; fails it once its deadline has passed. */
bool
CheckActive(Progress& aProgress, Instant aNow, std::vector<Action>& aActions)
{
  if (aProgress.phase == Phase::Ended) {
    return false;
  }
  if (aNow < aProgress.request.deadline) {
    return true;
  }
  GiveUp(aProgress,
         MakeError(ErrorKind::DeadlineExceeded, "the answer took too long"),
         aNow,
         aActions);
  return false;
}

} // namespace

void
HandleCommon(Progress& aProgress,
             const Event& aEvent,
             Instant aNow,
             std::vector<Action>& aActions)
{
  if (aProgress.phase == Phase::Ended && IsReply(aEvent)) {
    ++aProgress.counters.droppedReplies;
  }
  if (CheckActive(aProgress, aNow, aActions)) {
    std::visit(CommonHandler{ aProgress, aNow, aActions }, aEvent);
  }
}

std::optional<std::uint64_t>
HandleStep(Progress& aProgress,
           const StepReply& aReply,
           Instant aNow,
           std::vector<Action>& aActions)
{
  const auto sentAt = AcceptReply(aProgress, aReply.id, CallKind::Step);
  if (!sentAt || !CheckActive(aProgress, aNow, aActions)) {
    return std::nullopt;
  }
  if (FromOtherIncarnation(aProgress, aReply.incarnation)) {
    HandleStageLoss(aProgress, FailureKind::ConnectionLost, aNow, aActions);
    return std::nullopt;
  }
  return ApplyStep(aProgress, aReply.output, aNow - *sentAt, aNow, aActions);
}

} // namespace balsampoint::stream::internal
