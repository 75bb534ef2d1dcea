#pragma once

#include "balsampoint/exchange/internal/next_attempt.hpp"

#include <chrono>

namespace balsampoint::exchange::internal {

/** Time without a byte after which a connection counts as cut with the link;
 * longer than most servers pause between two events. */
inline constexpr Duration kLinkSilence = std::chrono::milliseconds{ 150 };

template<Surroundings S>
void
OnServersChosen(Context<S>& aContext, const ServersChosen& aChosen)
{
  auto& state = aContext.state;
  if (state.step != Step::Choosing) {
    return;
  }
  state.attempt.hops = aChosen.hops;
  if (aChosen.isolated) {
    ReleaseAttempt(aContext);
    GiveUp(aContext,
           MakeError(ErrorKind::NoServer, "this host reaches no servers"));
    return;
  }
  // A connection carries one request: what a server sends late of an earlier
  // answer could be well-formed within the next one.
  state.step = Step::Connecting;
  aContext.Act(Connect{});
}

template<Surroundings S>
void
OnNoServers(Context<S>& aContext, const NoServers& aNone)
{
  auto& state = aContext.state;
  if (state.step != Step::Choosing) {
    return;
  }
  state.step = Step::None;
  const auto& progress = state.progress;
  if (aNone.mayQueue && !progress.mayHaveRun && !progress.answerStarted) {
    Wait(aContext, WaitReason::Queue);
    aContext.Act(EnterQueue{ aNone.error });
    return;
  }
  GiveUp(aContext, aNone.error);
}

template<Surroundings S>
void
SendNow(Context<S>& aContext)
{
  auto& state = aContext.state;
  state.sentAt = aContext.now;
  const auto left = state.progress.deadline - aContext.now;
  if (left <= Duration{}) {
    OnDeadline(aContext);
    return;
  }
  state.step = Step::Sent;
  ++state.progress.sent;
  state.receivers.insert(state.attempt.hops.front().server);
  state.attempt.mayHaveRunBefore = state.progress.mayHaveRun;
  state.progress.mayHaveRun = true;
  aContext.Act(SendRequest{ left });
}

template<Surroundings S>
void
OnConnected(Context<S>& aContext)
{
  if (aContext.state.step == Step::Connecting) {
    SendNow(aContext);
  }
}

template<Surroundings S>
void
OnNotConnected(Context<S>& aContext, const ConnectionLost& aLost)
{
  if (!aLost.detourFailed && !(aLost.direct && aLost.linkDown)) {
    aContext.Act(RecordOutcome{ fleet::RequestOutcome::Unreachable });
  }
  if (aLost.direct) {
    aContext.Act(SuspectLink{});
  }
  EndAttempt(aContext,
             forward::AttemptEnd::NotSent,
             aLost.detourFailed ? "the detour can't be used"
                                : "the server can't be reached");
}

template<Surroundings S>
void
OnConnectionLost(Context<S>& aContext, const ConnectionLost& aLost)
{
  auto& state = aContext.state;
  if (state.step == Step::Connecting) {
    OnNotConnected(aContext, aLost);
    return;
  }
  if (state.step != Step::Sent) {
    return;
  }
  // The link of this host, not the server, explains the break.
  if (aLost.direct && (aLost.linkDown || state.sentAt < aLost.linkChangedAt)) {
    EndAttempt(aContext, forward::AttemptEnd::Broken, kLinkLost);
    return;
  }
  state.attempt.byDetour = !aLost.direct;
  state.step = Step::Probing;
  aContext.Act(ProbeServer{});
}

template<Surroundings S>
void
OnServerBroke(Context<S>& aContext, ServerBreak aBreak)
{
  aContext.surroundings.RecordBreak(aContext.state.attempt.hops.front(),
                                    aBreak);
  EndBroken(aContext,
            aBreak == ServerBreak::Crash
              ? "the server crashed"
              : "the connection to the server broke");
}

/** @brief Continues after the connection to the server broke, once it is known
 * whether the server accepts others. */
template<Surroundings S>
void
OnBreakProbed(Context<S>& aContext, const BreakProbed& aProbed)
{
  auto& state = aContext.state;
  if (state.step != Step::Probing) {
    return;
  }
  if (aProbed.restarted) {
    OnServerBroke(aContext, ServerBreak::Crash);
    return;
  }
  if (!aProbed.refuses && state.attempt.byDetour) {
    // The host on the way may have broken it.
    EndAttempt(aContext, forward::AttemptEnd::Broken, "the detour broke");
    return;
  }
  if (!aProbed.refuses) {
    OnServerBroke(aContext, ServerBreak::Reset);
    return;
  }
  if (aProbed.probeByDetour) {
    // The host that opened the probe reaches other servers.
    OnServerBroke(aContext, ServerBreak::Crash);
    return;
  }
  state.step = Step::CheckingLink;
  aContext.Act(CheckLink{});
}

/** @brief Continues after a server that broke its connection accepts no other,
 * once it is known whether this host reaches any. */
template<Surroundings S>
void
OnLinkChecked(Context<S>& aContext, const LinkChecked& aChecked)
{
  if (aContext.state.step != Step::CheckingLink) {
    return;
  }
  if (!aChecked.reached) {
    EndAttempt(aContext, forward::AttemptEnd::Broken, kLinkLost);
    return;
  }
  // A server at its limit of connections closes new ones and keeps others.
  OnServerBroke(aContext,
                aChecked.serverConnected ? ServerBreak::Reset
                                         : ServerBreak::Crash);
}

} // namespace balsampoint::exchange::internal
