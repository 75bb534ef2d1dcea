#pragma once

#include "balsampoint/exchange/internal/connection.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace balsampoint::exchange::internal {

/** @brief Skips a response that isn't the one to this request, or ends the
 * attempt if the right one can't be told from what follows. */
template<Surroundings S>
void
OnStrangeAnswer(Context<S>& aContext,
                forward::AnswerVerdict aVerdict,
                const AnswerRead& aRead)
{
  auto& attempt = aContext.state.attempt;
  const bool interim = aVerdict == forward::AnswerVerdict::Interim;
  if (!interim && !std::exchange(attempt.strangeAnswerLogged, true)) {
    aContext.Act(LogDiscarded{ forward::Describe(aVerdict) });
  }
  if (!forward::MaySkip(aVerdict)) {
    EndBroken(aContext, forward::Describe(aVerdict));
    return;
  }
  attempt.interimAnswers += interim ? 1 : 0;
  if (aRead.complete) {
    attempt.strangeAnswerLogged = false;
  }
  aContext.Act(SkipAnswer{});
}

template<Surroundings S>
void
OnNotExecuted(Context<S>& aContext, const AnswerRead& aRead)
{
  auto& state = aContext.state;
  const auto& hops = state.attempt.hops;
  state.progress.mayHaveRun = state.attempt.mayHaveRunBefore;
  auto atFault = aRead.atFault.value_or(hops.front().address);
  aContext.Act(RecordOutcome{ fleet::RequestOutcome::Full, atFault });
  for (const auto& hop : hops) {
    if (hop.address == atFault) {
      state.failed.insert(hop.server);
    }
  }
  EndAttempt(aContext,
             forward::AttemptEnd::NotExecuted,
             "the server has not run the request",
             std::move(atFault));
}

template<Surroundings S>
void
OnAnswerRead(Context<S>& aContext, const AnswerRead& aRead)
{
  auto& state = aContext.state;
  if (state.step != Step::Sent) {
    return;
  }
  auto claims = aRead.claims;
  claims.interimBefore = state.attempt.interimAnswers;
  const auto verdict = forward::CheckAnswer(claims);
  if (verdict != forward::AnswerVerdict::Own) {
    OnStrangeAnswer(aContext, verdict, aRead);
    return;
  }
  if (!std::exchange(state.attempt.statementsRead, true)) {
    if (aRead.direct) {
      aContext.Act(ConfirmLink{});
    }
    aContext.Act(FollowStatements{});
  }
  if (aRead.notExecuted) {
    OnNotExecuted(aContext, aRead);
    return;
  }
  if (forward::IsStream(state.progress.kind) && aRead.success) {
    aContext.Act(ReadEvents{});
    return;
  }
  if (aRead.complete) {
    aContext.Act(ReadBody{});
  }
}

template<Surroundings S>
void
BeginOnce(Context<S>& aContext)
{
  if (!std::exchange(aContext.state.progress.answerStarted, true)) {
    aContext.Act(BeginAnswer{});
  }
}

template<Surroundings S>
void
OnStreamEnd(Context<S>& aContext, const EventsRead& aRead)
{
  if (aRead.partial) {
    EndBroken(aContext, "the stream ended in the middle of an event");
    return;
  }
  if (aRead.empty) {
    EndBroken(aContext, "the stream ended before its first event");
    return;
  }
  aContext.Act(RecordOutcome{ fleet::RequestOutcome::Answered });
  aContext.Act(RecordCompletion{});
  BeginOnce(aContext);
  aContext.Act(EndStream{});
  End(aContext, "answered");
}

template<Surroundings S>
void
OnEventsRead(Context<S>& aContext, const EventsRead& aRead)
{
  auto& state = aContext.state;
  if (state.step != Step::Sent) {
    return;
  }
  if (aRead.any) {
    BeginOnce(aContext);
    state.phase = Phase::Answering;
    state.lastEventAt = aContext.now;
    aContext.Act(SendEvents{});
  }
  if (!aRead.whole) {
    EndBroken(aContext,
              "an event is missing from the stream, or is that of another");
    return;
  }
  if (aRead.complete) {
    OnStreamEnd(aContext, aRead);
  }
}

template<Surroundings S>
void
OnBodyRead(Context<S>& aContext, const BodyRead& aRead)
{
  auto& state = aContext.state;
  if (state.step != Step::Sent) {
    return;
  }
  if (aRead.verdict != forward::BodyVerdict::Whole) {
    aContext.Act(LogDiscarded{ forward::Describe(aRead.verdict) });
  }
  if (aRead.verdict == forward::BodyVerdict::Mixed) {
    EndBroken(aContext, forward::Describe(aRead.verdict));
    return;
  }
  constexpr std::uint16_t kFirstServerError = 500;
  // The caller of a stream has received a head already.
  if (aRead.status >= kFirstServerError || state.progress.answerStarted) {
    aContext.Act(RecordOutcome{ fleet::RequestOutcome::Failed });
    aContext.Act(KeepAnswer{});
    state.failed.insert(state.attempt.hops.front().server);
    EndAttempt(aContext,
               forward::AttemptEnd::ServerFailed,
               aRead.status >= kFirstServerError
                 ? "the server answered with a 5xx status"
                 : "the server does not continue the stream");
    return;
  }
  aContext.Act(RecordOutcome{ fleet::RequestOutcome::Answered });
  aContext.Act(RecordCompletion{});
  aContext.Act(ForwardAnswer{});
  End(aContext, "answered");
}

} // namespace balsampoint::exchange::internal
