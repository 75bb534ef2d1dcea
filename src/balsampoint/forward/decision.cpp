#include "balsampoint/forward/decision.hpp"

namespace balsampoint::forward {

namespace {

bool
MayRetry(const Progress& aProgress)
{
  return MayRepeat(aProgress.kind) || !aProgress.mayHaveRun;
}

} // namespace

bool
MayRepeat(routing::RequestKind aKind)
{
  switch (aKind) {
    case routing::RequestKind::Idempotent:
    case routing::RequestKind::ResumableStream:
      return true;
    case routing::RequestKind::NonIdempotent:
    case routing::RequestKind::Stream:
      break;
  }
  return false;
}

Decision
GiveUp(const Progress& aProgress, AttemptEnd aEnd)
{
  if (aProgress.answerStarted) {
    return Decision::Abort;
  }
  if (aEnd == AttemptEnd::ServerFailed) {
    return Decision::PassOn;
  }
  return aProgress.mayHaveRun ? Decision::Fail : Decision::Refuse;
}

Decision
Decide(const Progress& aProgress, AttemptEnd aEnd, Instant aNow)
{
  const bool left = aProgress.failedBeforeSend < kMaxFailedBeforeSend &&
                    aProgress.sent < kMaxSent;
  const bool time = aNow + kMinAttemptTime < aProgress.deadline;
  if (!left || !time || !MayRetry(aProgress)) {
    return GiveUp(aProgress, aEnd);
  }
  if (!aProgress.answerStarted) {
    return Decision::Retry;
  }
  return aProgress.kind == routing::RequestKind::ResumableStream
           ? Decision::Resume
           : Decision::Abort;
}

} // namespace balsampoint::forward
