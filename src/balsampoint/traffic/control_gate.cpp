#include "balsampoint/traffic/control_gate.hpp"

#include "balsampoint/runtime/steady_clock.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::traffic {

namespace {

using runtime::SteadyClock;

/** Longest time to wait for an answer that needs no other host. */
constexpr Duration kControlWait = std::chrono::seconds{ 5 };
/** What the control thread may be late beyond a deadline it keeps itself. */
constexpr Duration kGrace = std::chrono::milliseconds{ 250 };
/** Longest wait for admission of a request without a deadline. */
constexpr Duration kAdmissionWait = std::chrono::seconds{ 60 };

Error
QueueFull()
{
  auto error = MakeError(ErrorKind::Overloaded, "the control queue is full");
  error.retryAfter = std::chrono::seconds{ 1 };
  return error;
}

Error
ControlLate()
{
  return MakeError(ErrorKind::Overloaded, "the control thread is late");
}

Duration
Until(Instant aDeadline, Duration aMost)
{
  if (aDeadline == kNever) {
    return aMost;
  }
  return std::max(Duration::zero(), aDeadline - SteadyClock::Now());
}

} // namespace

ControlGate::ControlGate(HostId aHost, Incarnation aIncarnation, Post aPost)
  : mHost{ std::move(aHost) }
  , mIncarnation{ aIncarnation }
  , mPost{ std::move(aPost) }
{
}

ControlGate::Pass::Pass(ControlGate& aGate, limit::Arrived aArrived)
  : mGate{ aGate }
  , mWaiter{ aGate.mAdmissions }
{
  aArrived.ticket = mWaiter.Number();
  const auto deadline = aArrived.deadline;
  if (!mGate.mPost(limit::Event{ std::move(aArrived) })) {
    mResult = tl::unexpected(QueueFull());
    return;
  }
  auto answer = mWaiter.Wait(Until(deadline, kAdmissionWait) + kGrace);
  mResult = answer ? std::move(*answer) : tl::unexpected(ControlLate());
}

ControlGate::Pass::~Pass()
{
  // A lost report would hold the place for ever, so a full queue is waited for.
  constexpr int kTries = 20;
  const limit::Event ended{ limit::Ended{ mWaiter.Number() } };
  for (int at = 0; at < kTries && !mGate.mPost(ended); ++at) {
    static_cast<void>(mWaiter.Wait(kGrace));
  }
}

tl::expected<retry::AttemptGranted, Error>
ControlGate::Want(retry::AttemptRequested aWanted)
{
  decltype(mAttempts)::Waiter waiter{ mAttempts };
  aWanted.ticket = waiter.Number();
  if (!mPost(retry::Event{ std::move(aWanted) })) {
    return tl::unexpected(QueueFull());
  }
  auto answer = waiter.Wait(kControlWait);
  return answer ? std::move(*answer) : tl::unexpected(ControlLate());
}

void
ControlGate::End(const retry::AttemptEnded& aEnded)
{
  static_cast<void>(mPost(retry::Event{ aEnded }));
}

ledger::ClaimId
ControlGate::NextClaim()
{
  return { .host = mHost, .incarnation = mIncarnation, .number = ++mLastClaim };
}

tl::expected<ledger::Outcome, ledger::CommandFailed>
ControlGate::Run(const ledger::Propose& aPropose)
{
  decltype(mDecisions)::Waiter waiter{ mDecisions };
  const auto ticket = waiter.Number();
  if (!mPost(
        ledger::Event{ ledger::CommandRequested{ .ticket = ticket,
                                                 .command = aPropose.command,
                                                 .until = aPropose.until } })) {
    return tl::unexpected(ledger::CommandFailed{
      .ticket = ticket, .error = QueueFull(), .mayApply = false });
  }
  auto answer = waiter.Wait(Until(aPropose.until, kControlWait) + kGrace);
  if (answer) {
    return std::move(*answer);
  }
  return tl::unexpected(ledger::CommandFailed{
    .ticket = ticket, .error = ControlLate(), .mayApply = true });
}

void
ControlGate::Run(const ledger::ProposeDetached& aDetached)
{
  static_cast<void>(
    mPost(ledger::Event{ ledger::CommandPosted{ aDetached.command } }));
}

void
ControlGate::Run(const ledger::Wait& aWait)
{
  decltype(mDecisions)::Waiter waiter{ mDecisions };
  static_cast<void>(waiter.Wait(Until(aWait.until, kControlWait)));
}

void
ControlGate::Complete(const retry::Action& aAction)
{
  if (const auto* granted = std::get_if<retry::AttemptGranted>(&aAction)) {
    mAttempts.Complete(granted->ticket, *granted);
    return;
  }
  const auto& refused = std::get<retry::AttemptRefused>(aAction);
  mAttempts.Complete(refused.ticket, tl::unexpected(refused.error));
}

void
ControlGate::Complete(const limit::Action& aAction)
{
  if (const auto* admitted = std::get_if<limit::Admitted>(&aAction)) {
    mAdmissions.Complete(admitted->ticket, {});
    return;
  }
  const auto& refused = std::get<limit::Refused>(aAction);
  mAdmissions.Complete(refused.ticket, tl::unexpected(refused.error));
}

void
ControlGate::Complete(const ledger::Decided& aAction)
{
  mDecisions.Complete(aAction.ticket, aAction.outcome);
}

void
ControlGate::Complete(const ledger::CommandFailed& aAction)
{
  mDecisions.Complete(aAction.ticket, tl::unexpected(aAction));
}

} // namespace balsampoint::traffic
