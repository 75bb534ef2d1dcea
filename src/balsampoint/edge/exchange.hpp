#pragma once

#include "balsampoint/edge/admission.hpp"
#include "balsampoint/edge/answer.hpp"
#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/event_relay.hpp"
#include "balsampoint/edge/exchange_log.hpp"
#include "balsampoint/edge/server_choice.hpp"
#include "balsampoint/edge/traffic.hpp"
#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/query/retry_after.hpp"
#include "balsampoint/forward/verdict.hpp"
#include "balsampoint/wire/write.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace balsampoint::edge {

/**
 * @brief One request from its arrival to its final answer.
 * @tparam D Names and formats of messages.
 * @tparam Caller Connection of the caller.
 */
template<Dialect D, typename Caller>
class BasicExchange
  : public std::enable_shared_from_this<BasicExchange<D, Caller>>
{
public:
  /**
   * @brief Takes a request over.
   * @param aTraffic What requests share; outlives the exchange.
   * @param aCaller The caller's connection.
   * @param aRequest The request.
   */
  BasicExchange(Traffic& aTraffic,
                std::shared_ptr<Caller> aCaller,
                IncomingRequest aRequest)
    : mTraffic{ aTraffic }
    , mCaller{ std::move(aCaller) }
    , mRequest{ std::move(aRequest) }
    , mDeadline{ aTraffic.loop.Context() }
    , mResume{ aTraffic.loop.Context() }
    , mStartedAt{ Traffic::Now() }
  {
    ++mTraffic.active;
  }

  BasicExchange(const BasicExchange&) = delete;
  BasicExchange& operator=(const BasicExchange&) = delete;
  BasicExchange(BasicExchange&&) = delete;
  BasicExchange& operator=(BasicExchange&&) = delete;

  // Closing throws only where there is no memory left.
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~BasicExchange()
  {
    DropServer();
    mTraffic.lossObservers.erase(this);
    --mTraffic.active;
  }

  /**
   * @brief Finds the route and makes the first attempt.
   * @param aDone Called once the request has its final answer.
   */
  void Start(std::function<void()> aDone)
  {
    mDone = std::move(aDone);
    mTraffic.lossObservers[this] =
      [self = this->weak_from_this()](const ServerId& aServer) {
        if (const auto exchange = self.lock()) {
          exchange->OnServerLost(aServer);
        }
      };
    if (auto admitted = Admit(); !admitted) {
      AnswerError(admitted.error());
      return;
    }
    SetDeadline();
    mTraffic.budget.CountRequest(mAdmission.service->id, Traffic::Now());
    Attempt();
  }

  /** @brief Stops all work: the caller has left. */
  void OnCallerGone()
  {
    if (mEnded) {
      return;
    }
    mTraffic.metrics.Add(trace::Outcome::CallerGone);
    End("caller_gone");
  }

private:
  tl::expected<void, Error> Admit()
  {
    // Before the first configuration nothing a caller says can be judged.
    if (!mTraffic.routes) {
      return edge::Admit(mTraffic, mInquiry, {}, mAdmission);
    }
    auto inquiry = D::ReadInquiry(mRequest.head);
    if (!inquiry) {
      return tl::unexpected(inquiry.error());
    }
    mInquiry = std::move(*inquiry);
    auto admitted =
      edge::Admit(mTraffic, mInquiry, mRequest.head.Path(), mAdmission);
    if (admitted) {
      mProgress.kind = mAdmission.route->kind;
      mEvents = EventRelay{ UsesChunks(), mInquiry.resumeAfter };
    }
    return admitted;
  }

  void SetDeadline()
  {
    auto wait = mAdmission.route->timeout;
    if (mInquiry.patience) {
      wait = std::min(wait, *mInquiry.patience);
    }
    mProgress.deadline = mStartedAt + wait;
    mDeadline.Set(wait, [self = this->weak_from_this()] {
      if (const auto exchange = self.lock()) {
        exchange->OnDeadline();
      }
    });
  }

  [[nodiscard]] bool IsStream() const
  {
    return mProgress.kind == routing::RequestKind::Stream ||
           mProgress.kind == routing::RequestKind::ResumableStream;
  }

  void Attempt()
  {
    const auto receivers = AllowedReceivers();
    auto chosen = ChooseServers(
      mTraffic, *mAdmission.service, mInquiry, { mFailed, receivers });
    if (!chosen) {
      const auto end = mProgress.maybeRun ? forward::AttemptEnd::Broken
                                          : forward::AttemptEnd::NotSent;
      Finish(forward::GiveUp(mProgress, end), chosen.error());
      return;
    }
    mHops = std::move(chosen->hops);
    mTokens = chosen->tokens;
    fleet::Reserve(mTraffic.fleet, mAdmission.service->id, mHops, mTokens);
    const auto& address = mHops.front().address;
    // A kept connection may be closed by the server as it is used, which
    // leaves open whether the request has run.
    const bool mayKeep =
      mProgress.kind != routing::RequestKind::NonIdempotent &&
      mProgress.kind != routing::RequestKind::Stream;
    mServer = mayKeep ? mTraffic.pool.TakeKept(address) : nullptr;
    const bool kept = mServer != nullptr;
    if (!kept) {
      mServer = mTraffic.pool.Make(address);
    }
    mServer->Attach([self = this->weak_from_this()](ServerSignal aSignal) {
      if (const auto exchange = self.lock()) {
        exchange->OnSignal(aSignal);
      }
    });
    mSentNow = false;
    if (kept) {
      SendRequest();
    } else {
      mServer->Connect();
    }
  }

  /** Once a request has gone to as many servers as its route allows, it may
   * only go to one of these again. */
  [[nodiscard]] std::set<ServerId> AllowedReceivers() const
  {
    return mReceivers.size() >= mAdmission.route->maxAttempts
             ? mReceivers
             : std::set<ServerId>{};
  }

  void OnSignal(ServerSignal aSignal)
  {
    if (mEnded) {
      return;
    }
    switch (aSignal) {
      case ServerSignal::Connected:
        SendRequest();
        return;
      case ServerSignal::Answer:
        OnAnswer();
        return;
      case ServerSignal::Lost:
        break;
    }
    NoteServer(mSentNow ? fleet::RequestOutcome::Broken
                        : fleet::RequestOutcome::Unreachable);
    OnAttemptEnd(mSentNow ? forward::AttemptEnd::Broken
                          : forward::AttemptEnd::NotSent,
                 mSentNow ? "the connection to the server broke"
                          : "the server can't be reached");
  }

  void SendRequest()
  {
    const auto left = mProgress.deadline - Traffic::Now();
    if (left <= Duration{}) {
      OnDeadline();
      return;
    }
    mSentNow = true;
    ++mProgress.sent;
    mReceivers.insert(mHops.front().server);
    mRunBefore = mProgress.maybeRun;
    mProgress.maybeRun = true;
    const auto workspace =
      mAdmission.workspace ? mAdmission.workspace->id : WorkspaceId{};
    const auto priority = mAdmission.workspace && mAdmission.workspace->priority
                            ? *mAdmission.workspace->priority
                            : mAdmission.route->priority;
    auto bytes = D::WriteRequest({ .head = mRequest.head,
                                   .body = mRequest.body,
                                   .left = left,
                                   .hops = mHops,
                                   .workspace = workspace,
                                   .priority = priority,
                                   .resumeAfter = mEvents.Last() });
    mServer->Send(std::move(bytes), mRequest.head.method == "HEAD");
  }

  void OnAnswer()
  {
    auto& answer = mServer->Answer();
    if (!answer.HasHead()) {
      return;
    }
    auto& head = answer.Response();
    const auto facts = D::ReadAnswer(head);
    const bool other = facts.request && *facts.request != mInquiry.id.Value();
    constexpr std::uint16_t kFirstFinalStatus = 200;
    if (head.status < kFirstFinalStatus || other) {
      if (answer.Complete()) {
        mServer->SkipAnswer();
      } else {
        // Only the body's end tells where the own answer begins.
        static_cast<void>(answer.TakeBody());
      }
      return;
    }
    if (facts.notExecuted) {
      OnNotExecuted(facts);
      return;
    }
    if (IsStream() && head.Success()) {
      OnStreamPart();
      return;
    }
    if (answer.Complete()) {
      OnWholeAnswer();
    }
  }

  void OnNotExecuted(const AnswerFacts& aFacts)
  {
    mProgress.maybeRun = mRunBefore;
    const std::string atFault{ aFacts.atFault.value_or(mHops.front().address) };
    fleet::RecordOutcome(mTraffic.fleet,
                         mAdmission.service->id,
                         atFault,
                         fleet::RequestOutcome::Full,
                         Traffic::Now());
    for (const auto& hop : mHops) {
      if (hop.address == atFault) {
        mFailed.insert(hop.server);
      }
    }
    mFault = atFault;
    if (mServer->Answer().Complete()) {
      mTraffic.pool.GiveBack(std::exchange(mServer, nullptr));
    }
    OnAttemptEnd(forward::AttemptEnd::NotExecuted,
                 "the server has not run the request");
  }

  void OnWholeAnswer()
  {
    auto& answer = mServer->Answer();
    const auto& head = answer.Response();
    constexpr std::uint16_t kFirstServerError = 500;
    if (head.status >= kFirstServerError) {
      NoteServer(fleet::RequestOutcome::Failed);
      mFailed.insert(mHops.front().server);
      mServerFailure = { head, answer.TakeBody() };
      mTraffic.pool.GiveBack(std::exchange(mServer, nullptr));
      OnAttemptEnd(forward::AttemptEnd::ServerFailed, "the server failed");
      return;
    }
    NoteServer(fleet::RequestOutcome::Answered);
    PassOn(head, answer.TakeBody());
  }

  void PassOn(const wire::ResponseHead& aHead, const std::string& aBody)
  {
    auto bytes =
      MakeAnswerHead(aHead, Framing::Length, aBody.size(), KeepCaller());
    if (mRequest.head.method != "HEAD") {
      bytes += aBody;
    }
    mCaller->Send(bytes);
    mTraffic.metrics.Add(trace::Outcome::Complete);
    FinishCaller(KeepCaller());
    if (mServer) {
      mTraffic.pool.GiveBack(std::exchange(mServer, nullptr));
    }
    End("answered");
  }

  [[nodiscard]] bool KeepCaller() const
  {
    return mRequest.head.keepAlive && !mTraffic.draining;
  }

  void OnStreamPart()
  {
    auto& answer = mServer->Answer();
    std::string out;
    const bool whole = mEvents.Take(answer.TakeBody(), out);
    if (!out.empty()) {
      SendEvents(out);
    }
    if (!whole) {
      NoteServer(fleet::RequestOutcome::Broken);
      OnAttemptEnd(forward::AttemptEnd::Broken,
                   "an event of the stream is missing");
      return;
    }
    if (answer.Complete()) {
      OnStreamEnd();
    }
  }

  [[nodiscard]] bool UsesChunks() const { return mRequest.head.chunks; }

  void SendEvents(std::string_view aBytes)
  {
    if (!mProgress.answering) {
      BeginAnswer();
    }
    const auto now = Traffic::Now();
    NoteProgress(now);
    mTraffic.metrics.Record(trace::Timing::BetweenTokens, now - mLastEventAt);
    mLongestPause = std::max(mLongestPause, now - mLastEventAt);
    mLastEventAt = now;
    mCaller->Send(aBytes);
  }

  void NoteProgress(Instant aNow)
  {
    std::optional<Duration> interval;
    if (mWriting) {
      interval = aNow - mLastEventAt;
    } else {
      mWriting = true;
      fleet::CountStream(mTraffic.fleet, mAdmission.service->id, mHops, true);
    }
    fleet::RecordEvent(
      mTraffic.fleet, mAdmission.service->id, mHops, interval, aNow);
  }

  /**
   * A server that takes no connection may still be at work on the request, so
   * the request leaves it only where another chain is certain.
   */
  void OnServerLost(const ServerId& aServer)
  {
    const bool passes = std::ranges::any_of(mHops, [&](const fleet::Hop& aHop) {
      return aHop.server == aServer && aHop.layers.end > 0;
    });
    if (mEnded || !passes || !mServer || !mSentNow) {
      return;
    }
    mFailed.insert(aServer);
    const auto now = Traffic::Now();
    const auto verdict =
      forward::Decide(mProgress, forward::AttemptEnd::Broken, now);
    const auto receivers = AllowedReceivers();
    if (!forward::GoesOn(verdict) ||
        !OtherChainHasRoom(
          mTraffic, *mAdmission.service, mInquiry, { mFailed, receivers }) ||
        !TakeRetry(verdict)) {
      return;
    }
    mFault = aServer.Value();
    LogAttempt(Facts(),
               forward::AttemptEnd::Broken,
               "a server of the chain is lost",
               mFault);
    LeaveServer();
    Conclude(verdict, {});
  }

  void BeginAnswer()
  {
    mProgress.answering = true;
    mFirstEventAt = Traffic::Now();
    mTraffic.metrics.Record(trace::Timing::FirstToken,
                            mFirstEventAt - mStartedAt);
    mLastEventAt = mFirstEventAt;
    mCaller->Send(
      MakeAnswerHead(mServer->Answer().Response(),
                     UsesChunks() ? Framing::Chunks : Framing::Close,
                     0,
                     UsesChunks() && KeepCaller()));
  }

  void OnStreamEnd()
  {
    if (mEvents.HasPart()) {
      NoteServer(fleet::RequestOutcome::Broken);
      OnAttemptEnd(forward::AttemptEnd::Broken,
                   "the stream ended within an event");
      return;
    }
    NoteServer(fleet::RequestOutcome::Answered);
    if (!mProgress.answering) {
      BeginAnswer();
    }
    if (UsesChunks()) {
      mCaller->Send(wire::kLastChunk);
    }
    mTraffic.metrics.Add(trace::Outcome::Complete);
    FinishCaller(UsesChunks() && KeepCaller());
    mTraffic.pool.GiveBack(std::exchange(mServer, nullptr));
    End("answered");
  }

  void NoteServer(fleet::RequestOutcome aFinding)
  {
    if (!mHops.empty()) {
      fleet::RecordOutcome(mTraffic.fleet,
                           mAdmission.service->id,
                           mHops.front().address,
                           aFinding,
                           Traffic::Now());
    }
  }

  void OnAttemptEnd(forward::AttemptEnd aEnd, std::string_view aReason)
  {
    if (aEnd == forward::AttemptEnd::NotSent) {
      ++mProgress.unsent;
    }
    const bool unknownFault = mFault.empty();
    if (aEnd == forward::AttemptEnd::NotSent ||
        (aEnd == forward::AttemptEnd::Broken && unknownFault)) {
      mFailed.insert(mHops.front().server);
    }
    LogAttempt(Facts(), aEnd, aReason, mFault);
    LeaveServer();
    auto verdict = forward::Decide(mProgress, aEnd, Traffic::Now());
    if (forward::GoesOn(verdict) && mProgress.sent > 0 && !TakeRetry(verdict)) {
      verdict = forward::GiveUp(mProgress, aEnd);
      aReason = "the budget of retries is used up";
    }
    Conclude(verdict, MakeError(ErrorKind::BackendFailed, aReason));
  }

  bool TakeRetry(forward::Verdict aVerdict)
  {
    const auto use = aVerdict == forward::Verdict::Resume
                       ? forward::RetryUse::Resume
                       : forward::RetryUse::Repeat;
    return mTraffic.budget.TakeRetry(
      mAdmission.service->id, use, Traffic::Now());
  }

  void LeaveServer()
  {
    mFault.clear();
    DropServer();
    mEvents.DropPart();
  }

  /** @brief Tries another server or ends the request. */
  void Conclude(forward::Verdict aVerdict, const Error& aError)
  {
    if (aVerdict == forward::Verdict::Resume) {
      mTraffic.metrics.Add(trace::Count::Recoveries);
    }
    if (forward::GoesOn(aVerdict)) {
      Attempt();
      return;
    }
    Finish(aVerdict, aError);
  }

  /** @brief Ends a request that no further server is tried for. */
  void Finish(forward::Verdict aVerdict, Error aError)
  {
    switch (aVerdict) {
      case forward::Verdict::PassOn:
        PassOn(mServerFailure.first, mServerFailure.second);
        return;
      case forward::Verdict::Resume:
      case forward::Verdict::Retry:
      case forward::Verdict::Refuse:
        aError.kind = ErrorKind::NoServer;
        aError.executed = Executed::No;
        aError.retryAfter = mAdmission.service->engine
                              ? fleet::RetryAfter(mTraffic.fleet,
                                                  mAdmission.service->id,
                                                  Traffic::Now())
                              : kPlainRetry;
        AnswerError(aError);
        return;
      case forward::Verdict::Fail:
        aError.kind = ErrorKind::BackendFailed;
        aError.executed = Executed::Unknown;
        aError.retryAfter = {};
        AnswerError(aError);
        return;
      case forward::Verdict::Cut:
        if (MayWaitToResume()) {
          mResume.Set(kResumeInterval, [self = this->weak_from_this()] {
            if (const auto exchange = self.lock()) {
              exchange->ResumeIfPossible();
            }
          });
          return;
        }
        mTraffic.metrics.Add(trace::Outcome::Broken);
        CutCaller();
        End("cut");
        return;
    }
  }

  /** A caller waits for the next event for some time before it leaves. */
  [[nodiscard]] bool MayWaitToResume() const
  {
    const auto next = Traffic::Now() + kResumeInterval;
    return mProgress.kind == routing::RequestKind::ResumableStream &&
           next < mLastEventAt + kResumeWait && next < mProgress.deadline;
  }

  void ResumeIfPossible()
  {
    if (mEnded) {
      return;
    }
    const auto receivers = AllowedReceivers();
    const bool room = OtherChainHasRoom(
      mTraffic, *mAdmission.service, mInquiry, { {}, receivers });
    if (!room || !TakeRetry(forward::Verdict::Resume)) {
      Finish(forward::Verdict::Cut, {});
      return;
    }
    Conclude(forward::Verdict::Resume, {});
  }

  void OnDeadline()
  {
    if (mEnded) {
      return;
    }
    if (mProgress.answering) {
      mTraffic.metrics.Add(trace::Outcome::Broken);
      CutCaller();
      End("cut_at_deadline");
      return;
    }
    auto error = MakeError(mProgress.maybeRun ? ErrorKind::DeadlineExceeded
                                              : ErrorKind::NoServer,
                           "no answer came before the deadline");
    AnswerError(error);
  }

  void AnswerError(const Error& aError)
  {
    mTraffic.metrics.Add(trace::Outcome::Refused);
    mTraffic.metrics.Add(aError.kind);
    mError = AnswerFor(aError.kind).name;
    mDetail = aError.detail;
    mCaller->Send(D::WriteRefusal(aError, KeepCaller()));
    FinishCaller(KeepCaller());
    End("refused");
  }

  void FinishCaller(bool aKeep)
  {
    if (const auto caller = std::exchange(mCaller, nullptr)) {
      caller->Finish(aKeep);
    }
  }

  void CutCaller()
  {
    mEnded = true;
    if (const auto caller = std::exchange(mCaller, nullptr)) {
      caller->Close(true);
    }
  }

  void DropServer()
  {
    if (auto server = std::exchange(mServer, nullptr)) {
      server->Close();
    }
    if (std::exchange(mWriting, false)) {
      fleet::CountStream(mTraffic.fleet, mAdmission.service->id, mHops, false);
    }
    if (!mHops.empty()) {
      fleet::Release(mTraffic.fleet, mAdmission.service->id, mHops, mTokens);
      mHops.clear();
    }
  }

  void End(std::string_view aHow)
  {
    mEnded = true;
    mDeadline.Clear();
    mResume.Clear();
    mTraffic.metrics.Record(trace::Timing::Request,
                            Traffic::Now() - mStartedAt);
    LogEnd(Facts(),
           aHow,
           mError,
           mDetail,
           mProgress.answering ? std::optional{ AnswerTimes{
                                   mFirstEventAt - mStartedAt, mLongestPause } }
                               : std::nullopt);
    DropServer();
    mCaller = nullptr;
    if (const auto done = std::exchange(mDone, nullptr)) {
      done();
    }
  }

  [[nodiscard]] RequestFacts Facts() const
  {
    return { .request = mInquiry.id,
             .admission = mAdmission,
             .hops = mHops,
             .sent = mProgress.sent,
             .events = mEvents.Count(),
             .age = Traffic::Now() - mStartedAt };
  }

  /** A few times the usual time of a call of a plain service. */
  static constexpr Duration kPlainRetry = std::chrono::milliseconds{ 100 };
  /** Longest silence in which a broken stream looks for other servers; callers
   * leave after 2 s or more without an event. */
  static constexpr Duration kResumeWait = std::chrono::milliseconds{ 1500 };
  /** Time between two looks, half of that in which hosts hear of each other's
   * work. */
  static constexpr Duration kResumeInterval = std::chrono::milliseconds{ 100 };

  Traffic& mTraffic;
  std::shared_ptr<Caller> mCaller;
  IncomingRequest mRequest;
  Timer mDeadline;
  Timer mResume;
  Instant mStartedAt;
  Inquiry mInquiry;
  Admission mAdmission;
  forward::Progress mProgress;
  std::set<ServerId> mFailed;
  std::vector<fleet::Hop> mHops;
  double mTokens{};
  std::shared_ptr<ServerConnection> mServer;
  bool mSentNow{ false };
  bool mRunBefore{ false };
  EventRelay mEvents{ false, {} };
  Instant mFirstEventAt{};
  Instant mLastEventAt{};
  Duration mLongestPause{};
  std::pair<wire::ResponseHead, std::string> mServerFailure;
  std::string mFault;
  std::string mError;
  std::string mDetail;
  /** Servers to which the request was sent. */
  std::set<ServerId> mReceivers;
  /** Whether events come by the present servers. */
  bool mWriting{ false };
  std::function<void()> mDone;
  bool mEnded{ false };
};

} // namespace balsampoint::edge
