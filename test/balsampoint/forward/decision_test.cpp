#include "balsampoint/forward/decision.hpp"

#include <chrono>
#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::forward;
using namespace std::chrono_literals;
using routing::RequestKind;

namespace {

constexpr Instant kNow{ 1h };

Progress
MakeProgress(RequestKind aKind, bool aMayHaveRun)
{
  return {
    .kind = aKind, .sent = 1, .mayHaveRun = aMayHaveRun, .deadline = kNow + 1s
  };
}

} // namespace

Test(decision,
     a_non_idempotent_request_is_not_retried_if_it_may_have_been_executed)
{
  const auto progress = MakeProgress(RequestKind::NonIdempotent, true);
  cr_assert_eq(Decide(progress, AttemptEnd::Broken, kNow), Decision::Fail);
  cr_assert_eq(Decide(progress, AttemptEnd::ServerFailed, kNow),
               Decision::PassOn);
}

Test(decision, a_request_that_was_not_executed_is_retried)
{
  const auto progress = MakeProgress(RequestKind::NonIdempotent, false);
  cr_assert_eq(Decide(progress, AttemptEnd::NotExecuted, kNow),
               Decision::Retry);
  cr_assert_eq(Decide(progress, AttemptEnd::NotSent, kNow), Decision::Retry);
}

Test(decision, only_a_request_that_was_not_executed_is_refused)
{
  auto progress = MakeProgress(RequestKind::Idempotent, false);
  progress.sent = kMaxSent;
  cr_assert_eq(Decide(progress, AttemptEnd::NotExecuted, kNow),
               Decision::Refuse);
  progress.mayHaveRun = true;
  cr_assert_eq(Decide(progress, AttemptEnd::NotExecuted, kNow), Decision::Fail);
}

Test(decision, a_broken_stream_is_resumed_only_if_resumable)
{
  auto progress = MakeProgress(RequestKind::ResumableStream, true);
  cr_assert_eq(Decide(progress, AttemptEnd::Broken, kNow), Decision::Retry);
  progress.answerStarted = true;
  cr_assert_eq(Decide(progress, AttemptEnd::Broken, kNow), Decision::Resume);
  progress.kind = RequestKind::Stream;
  cr_assert_eq(Decide(progress, AttemptEnd::Broken, kNow), Decision::Abort);
}

Test(decision, no_attempt_is_made_just_before_the_deadline)
{
  auto progress = MakeProgress(RequestKind::Idempotent, false);
  progress.deadline = kNow + 5ms;
  cr_assert_eq(Decide(progress, AttemptEnd::NotSent, kNow), Decision::Refuse);
}
