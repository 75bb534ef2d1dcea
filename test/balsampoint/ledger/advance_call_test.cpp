#include "balsampoint/ledger/command/advance_call.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::ledger;

namespace {

using namespace std::chrono_literals;

constexpr Instant kStart{ 1h };

struct Run
{
  Call call;
  std::vector<CallAction> actions;

  Run()
  {
    call.claim.key.value = "k";
    call.deadline = kStart + 10s;
    Begin(call, kStart, actions);
  }

  const CallAction& After(const CallEvent& aEvent, Instant aNow = kStart)
  {
    actions.clear();
    Advance(call, aEvent, aNow, actions);
    return actions.back();
  }

  const Error& RefusalAfter(const CallEvent& aEvent, Instant aNow = kStart)
  {
    return std::get<Reply>(After(aEvent, aNow)).answer.error();
  }
};

const StoredAnswer kAnswer{ .status = 201, .body = "done" };

const Error kControlUnavailable{ .kind = ErrorKind::ControlUnavailable };

} // namespace

Test(advance_call, dispatches_only_after_the_grant_and_answers_when_durable)
{
  Run run;
  cr_assert(std::holds_alternative<Claim>(
    std::get<Propose>(run.actions.back()).command));
  cr_assert(
    std::holds_alternative<Dispatch>(run.After(ClaimDecided{ Granted{} })));
  const auto& record =
    std::get<Propose>(run.After(DispatchAnswered{ kAnswer }));
  cr_assert(std::get<Record>(record.command).answer == kAnswer);
  const auto& reply = std::get<Reply>(run.After(RecordEnded{ true }));
  cr_assert(*reply.answer == kAnswer);
}

Test(advance_call, answer_that_cannot_be_made_durable_still_reaches_the_caller)
{
  Run run;
  run.After(ClaimDecided{ Granted{} });
  run.After(DispatchAnswered{ kAnswer });
  cr_assert(*std::get<Reply>(run.After(RecordEnded{ false })).answer ==
            kAnswer);
  cr_assert(std::holds_alternative<Record>(
    std::get<ProposeDetached>(run.actions.front()).command));
}

Test(advance_call, large_answer_reaches_the_caller_whole_and_is_not_recorded)
{
  Run run;
  run.call.limits.maxAnswerBytes = 2;
  run.After(ClaimDecided{ Granted{} });
  const auto propose =
    std::get<Propose>(run.After(DispatchAnswered{ kAnswer }));
  cr_assert_not(std::get<Record>(propose.command).answer.complete);
  cr_assert(*std::get<Reply>(run.After(RecordEnded{ true })).answer == kAnswer);
}

Test(advance_call, failed_claim_is_released_and_never_dispatched)
{
  Run run;
  const auto& error =
    run.RefusalAfter(ClaimFailed{ kControlUnavailable, true });
  cr_assert_eq(error.executed, Executed::No);
  cr_assert(std::holds_alternative<Release>(
    std::get<ProposeDetached>(run.actions.front()).command));
  run.actions.clear();
  Advance(run.call, ClaimDecided{ Granted{} }, kStart, run.actions);
  cr_assert(run.actions.empty());
}

Test(advance_call, grant_after_the_deadline_is_released)
{
  Run run;
  const auto& error =
    run.RefusalAfter(ClaimDecided{ Granted{} }, run.call.deadline);
  cr_assert_eq(error.kind, ErrorKind::DeadlineExceeded);
  cr_assert_eq(error.executed, Executed::No);
  cr_assert(std::holds_alternative<ProposeDetached>(run.actions.front()));
}

Test(advance_call, unknown_outcome_keeps_the_claim)
{
  Run run;
  run.After(ClaimDecided{ Granted{} });
  const auto& error = run.RefusalAfter(
    DispatchOutcomeUnknown{ MakeError(ErrorKind::OutcomeUnknown, "reset") });
  cr_assert_eq(error.executed, Executed::Unknown);
  cr_assert_eq(run.actions.size(), 1);
}

Test(advance_call, call_that_was_not_executed_releases_the_key)
{
  Run run;
  run.After(ClaimDecided{ Granted{} });
  const auto& error = run.RefusalAfter(
    DispatchNotExecuted{ MakeError(ErrorKind::NoServer, "refused") });
  cr_assert_eq(error.executed, Executed::No);
  cr_assert(std::holds_alternative<ProposeDetached>(run.actions.front()));
}

Test(advance_call, repeat_waits_for_the_first_call_and_gets_its_answer)
{
  Run run;
  const auto wait = std::get<Wait>(run.After(ClaimDecided{ InDoubt{} })).until;
  cr_assert(wait > kStart);
  cr_assert(std::holds_alternative<Propose>(run.After(WaitEnded{}, wait)));
  const auto& reply =
    std::get<Reply>(run.After(ClaimDecided{ Repeated{ kAnswer } }, wait));
  cr_assert(*reply.answer == kAnswer);
}

Test(advance_call, repeat_of_a_call_without_outcome_ends_with_outcome_unknown)
{
  Run run;
  auto now = kStart;
  const CallAction* action = &run.After(ClaimDecided{ InDoubt{} }, now);
  while (const auto* wait = std::get_if<Wait>(action)) {
    now = wait->until;
    run.After(WaitEnded{}, now);
    action = &run.After(ClaimDecided{ InDoubt{} }, now);
  }
  const auto& error = std::get<Reply>(*action).answer.error();
  cr_assert_eq(error.kind, ErrorKind::OutcomeUnknown);
  cr_assert_eq(error.executed, Executed::Unknown);
  cr_assert(now <= run.call.deadline);
}

Test(advance_call, repeat_of_a_large_answer_says_that_the_call_ran)
{
  Run run;
  const auto& error = run.RefusalAfter(
    ClaimDecided{ Repeated{ { .status = 200, .complete = false } } });
  cr_assert_eq(error.executed, Executed::Yes);
}
