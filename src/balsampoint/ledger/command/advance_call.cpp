#include "balsampoint/ledger/command/advance_call.hpp"

#include "balsampoint/ledger/internal/answer_size.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace balsampoint::ledger {

namespace {

using Actions = std::vector<CallAction>;

void
Finish(Call& aCall,
       tl::expected<StoredAnswer, Error> aAnswer,
       Actions& aActions)
{
  aCall.phase = CallPhase::Answered;
  aActions.emplace_back(Reply{ std::move(aAnswer) });
}

Record
RecordOf(const Call& aCall)
{
  return { .key = aCall.claim.key,
           .id = aCall.claim.id,
           .answer = internal::LimitAnswerSize(aCall.answer,
                                               aCall.limits.maxAnswerBytes) };
}

void
ReleaseClaim(const Call& aCall, Actions& aActions)
{
  aActions.emplace_back(
    ProposeDetached{ Release{ .key = aCall.claim.key, .id = aCall.claim.id } });
}

void
Decide(Call& aCall,
       const Granted& /*aGranted*/,
       Instant aNow,
       Actions& aActions)
{
  if (aNow >= aCall.deadline) {
    ReleaseClaim(aCall, aActions);
    auto error = MakeError(ErrorKind::DeadlineExceeded,
                           "the deadline passed before the call was sent");
    error.executed = Executed::No;
    Finish(aCall, tl::unexpected(std::move(error)), aActions);
    return;
  }
  aCall.phase = CallPhase::Dispatching;
  aActions.emplace_back(Dispatch{});
}

void
Decide(Call& aCall,
       const Repeated& aRepeated,
       Instant /*aNow*/,
       Actions& aActions)
{
  if (aRepeated.answer.complete) {
    Finish(aCall, aRepeated.answer, aActions);
    return;
  }
  auto error = MakeError(ErrorKind::OutcomeUnknown,
                         "the call ran with status " +
                           std::to_string(aRepeated.answer.status) +
                           "; its answer was too large to be stored");
  error.executed = Executed::Yes;
  Finish(aCall, tl::unexpected(std::move(error)), aActions);
}

void
Decide(Call& aCall,
       const InDoubt& /*aInDoubt*/,
       Instant aNow,
       Actions& aActions)
{
  constexpr Duration kRetryAfter = std::chrono::seconds{ 1 };
  const auto wait =
    aCall.limits.firstRetryDelay * (std::int64_t{ 1 } << aCall.inDoubtCount);
  ++aCall.inDoubtCount;
  if (aCall.inDoubtCount < aCall.limits.maxClaims &&
      aNow + wait < aCall.deadline) {
    aCall.phase = CallPhase::Waiting;
    aActions.emplace_back(Wait{ aNow + wait });
    return;
  }
  auto error = MakeError(ErrorKind::OutcomeUnknown,
                         "an earlier call with this key is still running, or "
                         "its outcome is unknown");
  error.retryAfter = kRetryAfter;
  Finish(aCall, tl::unexpected(std::move(error)), aActions);
}

void
Decide(Call& aCall, const Error& aError, Instant /*aNow*/, Actions& aActions)
{
  Finish(aCall, tl::unexpected(aError), aActions);
}

void
Decide(Call& aCall, const Done& /*aDone*/, Instant /*aNow*/, Actions& aActions)
{
  Finish(aCall,
         Refuse(ErrorKind::Internal, "the claim was applied without a result"),
         aActions);
}

void
On(Call& aCall, const ClaimDecided& aEvent, Instant aNow, Actions& aActions)
{
  if (aCall.phase != CallPhase::Claiming) {
    return;
  }
  std::visit([&](const auto& aEach) { Decide(aCall, aEach, aNow, aActions); },
             aEvent.outcome);
}

void
On(Call& aCall, const ClaimFailed& aEvent, Instant /*aNow*/, Actions& aActions)
{
  if (aCall.phase != CallPhase::Claiming) {
    return;
  }
  if (aEvent.mayApply) {
    ReleaseClaim(aCall, aActions);
  }
  // This host sends a call only after its claim was granted, so this call
  // wasn't executed. A key in doubt may have been executed by another claim.
  auto error = aEvent.error;
  error.executed = aCall.inDoubtCount == 0 ? Executed::No : Executed::Unknown;
  Finish(aCall, tl::unexpected(std::move(error)), aActions);
}

void
On(Call& aCall, const WaitEnded& /*aEvent*/, Instant aNow, Actions& aActions)
{
  if (aCall.phase != CallPhase::Waiting) {
    return;
  }
  aCall.phase = CallPhase::Claiming;
  Begin(aCall, aNow, aActions);
}

void
On(Call& aCall, const DispatchAnswered& aEvent, Instant aNow, Actions& aActions)
{
  if (aCall.phase != CallPhase::Dispatching) {
    return;
  }
  aCall.phase = CallPhase::Recording;
  aCall.answer = aEvent.answer;
  aActions.emplace_back(Propose{ .command = RecordOf(aCall),
                                 .until = aNow + aCall.limits.recordTimeout });
}

void
On(Call& aCall,
   const DispatchNotExecuted& aEvent,
   Instant /*aNow*/,
   Actions& aActions)
{
  if (aCall.phase != CallPhase::Dispatching) {
    return;
  }
  ReleaseClaim(aCall, aActions);
  auto error = aEvent.error;
  error.executed = Executed::No;
  Finish(aCall, tl::unexpected(std::move(error)), aActions);
}

void
On(Call& aCall,
   const DispatchOutcomeUnknown& aEvent,
   Instant /*aNow*/,
   Actions& aActions)
{
  if (aCall.phase != CallPhase::Dispatching) {
    return;
  }
  auto error = aEvent.error;
  error.executed = Executed::Unknown;
  Finish(aCall, tl::unexpected(std::move(error)), aActions);
}

void
On(Call& aCall, const RecordEnded& aEvent, Instant /*aNow*/, Actions& aActions)
{
  if (aCall.phase != CallPhase::Recording) {
    return;
  }
  if (!aEvent.durable) {
    aActions.emplace_back(ProposeDetached{ RecordOf(aCall) });
  }
  Finish(aCall, std::move(aCall.answer), aActions);
}

} // namespace

void
Begin(const Call& aCall, Instant aNow, std::vector<CallAction>& aActions)
{
  aActions.emplace_back(Propose{
    .command = aCall.claim,
    .until = std::min(aCall.deadline, aNow + aCall.limits.proposalTimeout) });
}

void
Advance(Call& aCall,
        const CallEvent& aEvent,
        Instant aNow,
        std::vector<CallAction>& aActions)
{
  std::visit([&](const auto& aEach) { On(aCall, aEach, aNow, aActions); },
             aEvent);
}

} // namespace balsampoint::ledger
