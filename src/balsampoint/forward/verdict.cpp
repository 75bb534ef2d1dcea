#include "balsampoint/forward/verdict.hpp"

namespace balsampoint::forward {

namespace {

bool
MayRunAgain(const Progress& aProgress)
{
  switch (aProgress.kind) {
    case routing::RequestKind::Idempotent:
    case routing::RequestKind::ResumableStream:
      return true;
    case routing::RequestKind::NonIdempotent:
    case routing::RequestKind::Stream:
      break;
  }
  return !aProgress.maybeRun;
}

} // namespace

Verdict
GiveUp(const Progress& aProgress, AttemptEnd aEnd)
{
  if (aProgress.answering) {
    return Verdict::Cut;
  }
  if (aEnd == AttemptEnd::ServerFailed) {
    return Verdict::PassOn;
  }
  return aProgress.maybeRun ? Verdict::Fail : Verdict::Refuse;
}

Verdict
Decide(const Progress& aProgress, AttemptEnd aEnd, Instant aNow)
{
  const bool left = aProgress.unsent < kMaxUnsent && aProgress.sent < kMaxSent;
  const bool time = aNow + kLeastTime < aProgress.deadline;
  if (!left || !time || !MayRunAgain(aProgress)) {
    return GiveUp(aProgress, aEnd);
  }
  if (!aProgress.answering) {
    return Verdict::Retry;
  }
  return aProgress.kind == routing::RequestKind::ResumableStream
           ? Verdict::Resume
           : Verdict::Cut;
}

} // namespace balsampoint::forward
