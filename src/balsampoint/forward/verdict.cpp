#include "balsampoint/forward/verdict.hpp"

namespace balsampoint::forward {

namespace {

bool
MayRetry(const Progress& aProgress)
{
  switch (aProgress.kind) {
    case routing::RequestKind::Idempotent:
    case routing::RequestKind::ResumableStream:
      return true;
    case routing::RequestKind::NonIdempotent:
    case routing::RequestKind::Stream:
      break;
  }
  return !aProgress.mayHaveRun;
}

} // namespace

Verdict
GiveUp(const Progress& aProgress, AttemptEnd aEnd)
{
  if (aProgress.answerStarted) {
    return Verdict::Cut;
  }
  if (aEnd == AttemptEnd::ServerFailed) {
    return Verdict::PassOn;
  }
  return aProgress.mayHaveRun ? Verdict::Fail : Verdict::Refuse;
}

Verdict
Decide(const Progress& aProgress, AttemptEnd aEnd, Instant aNow)
{
  const bool left = aProgress.failedBeforeSend < kMaxFailedBeforeSend &&
                    aProgress.sent < kMaxSent;
  const bool time = aNow + kMinAttemptTime < aProgress.deadline;
  if (!left || !time || !MayRetry(aProgress)) {
    return GiveUp(aProgress, aEnd);
  }
  if (!aProgress.answerStarted) {
    return Verdict::Retry;
  }
  return aProgress.kind == routing::RequestKind::ResumableStream
           ? Verdict::Resume
           : Verdict::Cut;
}

} // namespace balsampoint::forward
