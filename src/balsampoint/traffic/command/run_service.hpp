#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/ledger/command/advance_call.hpp"
#include "balsampoint/retry/may_retry.hpp"
#include "balsampoint/traffic/service_call.hpp"

#include <deque>
#include <optional>
#include <utility>

namespace balsampoint::traffic {

/**
 * @brief Runs one call of a plain service on the calling thread.
 * @tparam Client Sends the call to a server.
 * @tparam Control Chooses servers and replicates commands on keys.
 * @tparam Clock Tells the time.
 */
template<ServiceClient Client, ServiceControl Control, ClockSource Clock>
class BasicServiceRun
{
public:
  /** @brief The server's answer with any status, or why there is none. */
  using Answer = tl::expected<ledger::StoredAnswer, Error>;

  /**
   * @brief Keeps what the run works with; all outlive the run.
   * @param aClient Sends the call to a server.
   * @param aControl Chooses servers and replicates commands on keys.
   * @param aClock Tells the time.
   * @param aCall The call.
   */
  BasicServiceRun(Client& aClient,
                  Control& aControl,
                  Clock aClock,
                  const ServiceCall& aCall)
    : mClient{ aClient }
    , mControl{ aControl }
    , mClock{ aClock }
    , mCall{ aCall }
  {
  }

  /** @brief Runs the call without a key. */
  [[nodiscard]] Answer Run()
  {
    const auto event = RunAttempts();
    if (const auto* answered = std::get_if<ledger::DispatchAnswered>(&event)) {
      return answered->answer;
    }
    if (const auto* never = std::get_if<ledger::DispatchNotExecuted>(&event)) {
      return tl::unexpected(never->error);
    }
    return tl::unexpected(
      std::get<ledger::DispatchOutcomeUnknown>(event).error);
  }

  /**
   * @brief Runs the call under a key, at most once for all who use the key.
   * @param aClaim The claim of this call, never used before.
   * @return The answer of the one run, or the refusal.
   */
  [[nodiscard]] Answer RunKeyed(ledger::Claim aClaim)
  {
    ledger::Call call{ .claim = std::move(aClaim), .deadline = mCall.deadline };
    std::vector<ledger::CallAction> actions;
    ledger::Begin(call, mClock.Now(), actions);
    mActions.assign(actions.begin(), actions.end());
    while (!mActions.empty()) {
      const auto action = std::move(mActions.front());
      mActions.pop_front();
      const auto event = std::visit(
        [this](const auto& aEach) { return this->Do(aEach); }, action);
      if (!event) {
        continue;
      }
      actions.clear();
      ledger::Advance(call, *event, mClock.Now(), actions);
      mActions.insert(mActions.end(), actions.begin(), actions.end());
    }
    return std::move(mAnswer);
  }

private:
  using MaybeEvent = std::optional<ledger::CallEvent>;

  MaybeEvent Do(const ledger::Propose& aPropose)
  {
    const auto decision = mControl.Run(aPropose);
    if (std::holds_alternative<ledger::Record>(aPropose.command)) {
      return ledger::RecordEnded{ decision.has_value() };
    }
    if (decision) {
      return ledger::ClaimDecided{ *decision };
    }
    return ledger::ClaimFailed{ .error = decision.error().error,
                                .mayApply = decision.error().mayApply };
  }

  MaybeEvent Do(const ledger::ProposeDetached& aDetached)
  {
    mControl.Run(aDetached);
    return std::nullopt;
  }

  MaybeEvent Do(const ledger::Wait& aWait)
  {
    mControl.Run(aWait);
    return ledger::WaitEnded{};
  }

  MaybeEvent Do(const ledger::Dispatch& /*aDispatch*/) { return RunAttempts(); }

  MaybeEvent Do(const ledger::Reply& aReply)
  {
    mAnswer = aReply.answer;
    return std::nullopt;
  }

  /** Tries servers as the rules allow, and says how the last attempt ended. */
  ledger::CallEvent RunAttempts()
  {
    retry::AttemptRequested wanted{ .ticket = {},
                                    .workspace = mCall.workspace,
                                    .service = mCall.service,
                                    .deadline = mCall.deadline };
    std::optional<ServiceReply> last;
    while (true) {
      if (mClock.Now() >= mCall.deadline) {
        return Conclude(last, Late());
      }
      const auto granted = mControl.Want(wanted);
      if (!granted) {
        return Conclude(last, granted.error());
      }
      last = mClient.Call(granted->address, mCall.deadline);
      mControl.End({ .server = granted->server,
                     .incarnation = granted->incarnation,
                     .workspace = mCall.workspace,
                     .result = last->result });
      mMayHaveRun |= last->result != retry::AttemptResult::NotSent;
      ++wanted.attempts;
      wanted.failed.push_back(granted->server);
      if (!retry::MayRetry(last->result, wanted.attempts, mCall.idempotent)) {
        return Conclude(last, last->error);
      }
    }
  }

  static Error Late()
  {
    auto error = MakeError(ErrorKind::DeadlineExceeded,
                           "the deadline passed before the call was sent");
    error.executed = Executed::No;
    return error;
  }

  /** What is known after the last attempt, if there was one. */
  [[nodiscard]] ledger::CallEvent Conclude(
    const std::optional<ServiceReply>& aLast,
    const Error& aWithout) const
  {
    if (!aLast) {
      return ledger::DispatchNotExecuted{ aWithout };
    }
    switch (aLast->result) {
      case retry::AttemptResult::Answered:
      case retry::AttemptResult::ServerError:
        return ledger::DispatchAnswered{ aLast->answer };
      case retry::AttemptResult::NotSent:
      case retry::AttemptResult::Broken:
        break;
    }
    if (!mMayHaveRun) {
      return ledger::DispatchNotExecuted{ aLast->error };
    }
    auto error = aLast->error;
    error.executed = Executed::Unknown;
    return ledger::DispatchOutcomeUnknown{ std::move(error) };
  }

  Client& mClient;
  Control& mControl;
  Clock mClock;
  const ServiceCall& mCall;
  std::deque<ledger::CallAction> mActions;
  Answer mAnswer;
  /** Whether an earlier attempt reached a server. */
  bool mMayHaveRun{ false };
};

} // namespace balsampoint::traffic
