#pragma once

#include "balsampoint/ledger/command/advance_call.hpp"
#include "balsampoint/ledger/command/apply.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsampoint::fake {

/** @brief Fate of a proposal to the control group. */
enum class Delivery : std::uint8_t
{
  Answered,
  AnswerLost,
  AppliedTwice,
  Lost,
};

/** @brief Fate of a call at the backend server. */
enum class ServerFate : std::uint8_t
{
  Answers,
  ConnectionRefused,
  ResetBeforeRun,
  ResetAfterRun,
  /** The connection is reset; the server executes the call later. */
  RunsLate,
};

/**
 * @brief Simulates entry hosts, the table of the control group and a backend
 * server. A test chooses the order of events; at-most-once execution is
 * checked after each.
 */
class LedgerWorld
{
public:
  /** @brief One request of a caller. */
  struct Request
  {
    ledger::Key key;
    ledger::Digest digest{};
    /** When the table granted its claim; none before that. */
    std::optional<Instant> grantedAt;
    bool ran{ false };
    /** Whether its entry host crashed. */
    bool hostLost{ false };
    std::optional<tl::expected<ledger::StoredAnswer, Error>> reply;
  };

  /**
   * @brief Creates entry hosts that share an empty table.
   * @param aHosts Number of entry hosts.
   * @param aBounds Limits of the table.
   */
  LedgerWorld(std::size_t aHosts, const ledger::Bounds& aBounds)
    : mHosts(aHosts)
  {
    mTable.bounds = aBounds;
  }

  /** @brief Sends a request of a caller through one host. */
  void Submit(std::size_t aHost, unsigned aKey, unsigned aBody)
  {
    auto& host = mHosts[aHost % mHosts.size()];
    ledger::Call call;
    call.claim.key = ledger::Key{ .workspace = WorkspaceId{ "desk" },
                                  .service = ServiceId{ "orders" },
                                  .value = "key-" + std::to_string(aKey) };
    call.claim.digest.fill(static_cast<std::byte>(aBody));
    call.claim.id =
      ledger::ClaimId{ .host = HostId{ std::to_string(aHost % mHosts.size()) },
                       .incarnation = host.incarnation,
                       .number = mRequests.size() };
    call.deadline = mNow + kCallerTimeout;
    const auto at = mRequests.size();
    mRequests.push_back({ .key = call.claim.key,
                          .digest = call.claim.digest,
                          .grantedAt = std::nullopt,
                          .ran = false,
                          .hostLost = false,
                          .reply = std::nullopt });
    std::vector<ledger::CallAction> actions;
    ledger::Begin(call, mNow, actions);
    host.calls.emplace(at, std::move(call));
    CarryOut(at, actions);
  }

  /** @brief Applies or drops one pending proposal. */
  void Decide(std::size_t aChoice, Delivery aDelivery)
  {
    if (mProposals.empty()) {
      return;
    }
    const auto index = aChoice % mProposals.size();
    const auto proposal = mProposals[index];
    mProposals.erase(mProposals.begin() + static_cast<std::ptrdiff_t>(index));
    if (aDelivery == Delivery::Lost) {
      Fail(proposal);
      return;
    }
    const auto outcome = ledger::Apply(mTable, proposal.command);
    if (std::holds_alternative<ledger::Granted>(outcome)) {
      auto& request =
        mRequests[std::get<ledger::Claim>(proposal.command).id.number];
      request.grantedAt = request.grantedAt.value_or(mNow);
    }
    if (aDelivery == Delivery::AppliedTwice) {
      mProposals.push_back({ .command = proposal.command, .request = {} });
    }
    if (aDelivery == Delivery::AnswerLost) {
      Fail(proposal);
      return;
    }
    if (!proposal.request) {
      return;
    }
    if (std::holds_alternative<ledger::Record>(proposal.command)) {
      Post(*proposal.request, ledger::RecordEnded{ true });
    } else {
      Post(*proposal.request, ledger::ClaimDecided{ outcome });
    }
  }

  /** @brief Lets an entry host time out on a proposal that stays pending. */
  void TimeOutProposal(std::size_t aChoice)
  {
    if (mProposals.empty()) {
      return;
    }
    auto& proposal = mProposals[aChoice % mProposals.size()];
    const auto copy = proposal;
    proposal.request.reset();
    Fail(copy);
  }

  /** @brief Ends one call that was sent to the server. */
  void EndDispatch(std::size_t aChoice, ServerFate aFate)
  {
    if (mDispatches.empty()) {
      return;
    }
    const auto index = aChoice % mDispatches.size();
    const auto at = mDispatches[index];
    mDispatches.erase(mDispatches.begin() + static_cast<std::ptrdiff_t>(index));
    switch (aFate) {
      case ServerFate::Answers:
        if (!Run(at)) {
          break;
        }
        Post(at, ledger::DispatchAnswered{ AnswerOf(mRequests[at]) });
        return;
      case ServerFate::ConnectionRefused:
        Post(at,
             ledger::DispatchNotExecuted{
               MakeError(ErrorKind::NoServer, "connection refused") });
        return;
      case ServerFate::ResetAfterRun:
        Run(at);
        break;
      case ServerFate::RunsLate:
        mLateRuns.push_back(at);
        break;
      case ServerFate::ResetBeforeRun:
        break;
    }
    Post(at,
         ledger::DispatchOutcomeUnknown{
           MakeError(ErrorKind::OutcomeUnknown, "connection reset") });
  }

  /** @brief Executes a call that its entry host no longer waits for. */
  void RunLate(std::size_t aChoice)
  {
    if (mLateRuns.empty()) {
      return;
    }
    const auto index = aChoice % mLateRuns.size();
    const auto at = mLateRuns[index];
    mLateRuns.erase(mLateRuns.begin() + static_cast<std::ptrdiff_t>(index));
    Run(at);
  }

  /** @brief Restarts an entry host, which loses its calls. */
  void Crash(std::size_t aHost)
  {
    auto& host = mHosts[aHost % mHosts.size()];
    host.incarnation = host.incarnation.Next();
    for (const auto& [at, call] : host.calls) {
      mRequests[at].hostLost = true;
      std::erase_if(mDispatches, [&, id = at](std::size_t aEach) {
        if (aEach == id) {
          mLateRuns.push_back(aEach);
        }
        return aEach == id;
      });
    }
    host.calls.clear();
    host.tableTimeReadAt = mNow;
    host.tableTime = mTable.time;
  }

  /** @brief Advances the clock and lets one host propose a time step. */
  void PassTime(std::size_t aHost, Duration aBy)
  {
    mNow += aBy;
    auto& host = mHosts[aHost % mHosts.size()];
    mProposals.push_back(
      { .command = ledger::TimeStep{ .from = host.tableTime,
                                     .by = mNow - host.tableTimeReadAt },
        .request = {} });
    host.tableTime = mTable.time;
    host.tableTimeReadAt = mNow;
    EndDueWaits();
  }

  /** @brief Delivers everything pending, without further faults. */
  void Settle()
  {
    constexpr Duration kStep = std::chrono::seconds{ 1 };
    while (!mProposals.empty() || !mDispatches.empty() || !mWaits.empty()) {
      Decide(0, Delivery::Answered);
      EndDispatch(0, ServerFate::Answers);
      RunLate(0);
      mNow += kStep;
      EndDueWaits();
    }
    for (const auto& request : mRequests) {
      if (!request.reply && !request.hostLost) {
        mViolations.push_back("a request was never answered");
      }
    }
  }

  /** @brief Violated invariants so far; empty if there are none. */
  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return mViolations;
  }

  /** @brief All requests so far. */
  [[nodiscard]] const std::vector<Request>& Requests() const
  {
    return mRequests;
  }

  /** @brief The replicated table. */
  [[nodiscard]] const ledger::Table& Table() const { return mTable; }

  /** @brief Number of executions over all keys. */
  [[nodiscard]] std::size_t Runs() const { return mRunCount; }

private:
  static constexpr Duration kCallerTimeout = std::chrono::seconds{ 30 };
  /** Time after its grant when a call can no longer be executed; less than the
   * retention of keys. */
  static constexpr Duration kLongestRun = std::chrono::minutes{ 10 };

  struct Host
  {
    Incarnation incarnation{ 1 };
    std::map<std::size_t, ledger::Call> calls;
    Duration tableTime{};
    Instant tableTimeReadAt{};
  };

  struct Proposal
  {
    ledger::Command command;
    /** Index of the request that waits for the outcome; none if none does. */
    std::optional<std::size_t> request;
  };

  struct PendingWait
  {
    std::size_t request{};
    Instant until{};
  };

  static ledger::StoredAnswer AnswerOf(const Request& aRequest)
  {
    return { .status = 201,
             .headers = {},
             .body = aRequest.key.value +
                     std::to_string(std::to_integer<int>(aRequest.digest[0])),
             .complete = true };
  }

  Host* HostOf(std::size_t aRequest)
  {
    for (auto& host : mHosts) {
      if (host.calls.contains(aRequest)) {
        return &host;
      }
    }
    return nullptr;
  }

  void Post(std::size_t aRequest, const ledger::CallEvent& aEvent)
  {
    auto* host = HostOf(aRequest);
    if (host == nullptr) {
      return;
    }
    std::vector<ledger::CallAction> actions;
    ledger::Advance(host->calls.at(aRequest), aEvent, mNow, actions);
    CarryOut(aRequest, actions);
  }

  void Fail(const Proposal& aProposal)
  {
    if (!aProposal.request) {
      return;
    }
    if (std::holds_alternative<ledger::Record>(aProposal.command)) {
      Post(*aProposal.request, ledger::RecordEnded{ false });
      return;
    }
    Post(*aProposal.request,
         ledger::ClaimFailed{
           MakeError(ErrorKind::ControlUnavailable, "no decision"), true });
  }

  void CarryOut(std::size_t aRequest,
                const std::vector<ledger::CallAction>& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* propose = std::get_if<ledger::Propose>(&action)) {
        mProposals.push_back(
          { .command = propose->command, .request = aRequest });
      } else if (const auto* later =
                   std::get_if<ledger::ProposeDetached>(&action)) {
        mProposals.push_back({ .command = later->command, .request = {} });
      } else if (std::holds_alternative<ledger::Dispatch>(action)) {
        mDispatches.push_back(aRequest);
      } else if (const auto* wait = std::get_if<ledger::Wait>(&action)) {
        mWaits.push_back({ .request = aRequest, .until = wait->until });
      } else {
        Answer(aRequest, std::get<ledger::Reply>(action));
      }
    }
  }

  void Answer(std::size_t aRequest, const ledger::Reply& aReply)
  {
    auto& request = mRequests[aRequest];
    if (request.reply) {
      mViolations.push_back("a request was answered twice");
    }
    request.reply = aReply.answer;
    if (aReply.answer && *aReply.answer != AnswerOf(request)) {
      mViolations.push_back("a caller got another call's answer");
    }
    if (aReply.answer && !mLastGrant.contains(request.key)) {
      mViolations.push_back("a caller got an answer to work that never ran");
    }
    CheckNotExecuted(request);
  }

  void CheckNotExecuted(const Request& aRequest)
  {
    if (aRequest.ran && aRequest.reply && !*aRequest.reply &&
        aRequest.reply->error().executed == Executed::No) {
      mViolations.push_back("a call that was said not to have run, ran");
    }
  }

  /** @brief Executes a call unless `kLongestRun` has passed since its grant. */
  bool Run(std::size_t aRequest)
  {
    auto& request = mRequests[aRequest];
    const auto granted = request.grantedAt.value();
    if (mNow - granted > kLongestRun) {
      return false;
    }
    const auto last = mLastGrant.find(request.key);
    if (last != mLastGrant.end() &&
        granted - last->second < mTable.bounds.retention) {
      mViolations.push_back("the work of a key ran twice");
    }
    mLastGrant[request.key] = granted;
    ++mRunCount;
    request.ran = true;
    CheckNotExecuted(request);
    return true;
  }

  void EndDueWaits()
  {
    std::vector<std::size_t> due;
    std::erase_if(mWaits, [&](const PendingWait& aWait) {
      if (aWait.until <= mNow) {
        due.push_back(aWait.request);
      }
      return aWait.until <= mNow;
    });
    for (const auto request : due) {
      Post(request, ledger::WaitEnded{});
    }
  }

  ledger::Table mTable;
  std::vector<Host> mHosts;
  std::vector<Request> mRequests;
  std::vector<Proposal> mProposals;
  std::vector<std::size_t> mDispatches;
  std::vector<std::size_t> mLateRuns;
  std::vector<PendingWait> mWaits;
  std::map<ledger::Key, Instant> mLastGrant;
  std::vector<std::string> mViolations;
  std::size_t mRunCount{};
  Instant mNow{};
};

} // namespace balsampoint::fake
