#pragma once

#include "balsampoint/edge/answer.hpp"
#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/traffic.hpp"
#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/query/choose_chain.hpp"
#include "balsampoint/fleet/query/choose_server.hpp"
#include "balsampoint/fleet/query/return_after.hpp"
#include "balsampoint/forward/verdict.hpp"
#include "balsampoint/trace/event.hpp"
#include "balsampoint/wire/event_splitter.hpp"
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
    , mRoutes{ aTraffic.routes }
    , mDeadline{ aTraffic.loop.Context() }
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
    mTraffic.budget.CountRequest(mService->id, Traffic::Now());
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
    if (!mRoutes) {
      return Later(
        MakeError(ErrorKind::NotReady, "this host has no configuration yet"),
        kStartRetry);
    }
    auto inquiry = D::ReadInquiry(mRequest.head);
    if (!inquiry) {
      return tl::unexpected(inquiry.error());
    }
    mInquiry = std::move(*inquiry);
    mRoute = mRoutes->FindRoute(mInquiry.host, mRequest.head.Path());
    if (mRoute == nullptr) {
      return Refuse(ErrorKind::NotFound, "no route matches host and path");
    }
    if (auto known = Identify(); !known) {
      return known;
    }
    if (mTraffic.active > mTraffic.maxActive) {
      return Later(MakeError(ErrorKind::Overloaded,
                             "too many requests are in progress here"),
                   kOverloadRetry);
    }
    mService = ChooseService();
    mProgress.kind = mRoute->kind;
    mLastEvent = mInquiry.resumeAfter;
    return {};
  }

  tl::expected<void, Error> Identify()
  {
    if (mRoute->isPublic) {
      return {};
    }
    mWorkspace = mInquiry.key ? mRoutes->FindWorkspace(*mInquiry.key) : nullptr;
    if (mWorkspace == nullptr) {
      return Refuse(ErrorKind::Unauthorized, "no workspace holds the key");
    }
    return {};
  }

  static tl::unexpected<Error> Later(Error aError, Duration aAfter)
  {
    aError.retryAfter = aAfter;
    return tl::unexpected(std::move(aError));
  }

  const routing::Service* ChooseService()
  {
    std::uint64_t total = 0;
    for (const auto& target : mRoute->targets) {
      total += target.weight;
    }
    auto drawn = mTraffic.random.Next() % total;
    for (const auto& target : mRoute->targets) {
      if (drawn < target.weight) {
        return &mRoutes->Source().services.at(target.service);
      }
      drawn -= target.weight;
    }
    return nullptr;
  }

  void SetDeadline()
  {
    auto wait = mRoute->timeout;
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
    auto hops = ChooseHops();
    if (!hops) {
      const auto end = mProgress.maybeRun ? forward::AttemptEnd::Broken
                                          : forward::AttemptEnd::NotSent;
      Finish(forward::GiveUp(mProgress, end), hops.error());
      return;
    }
    mHops = std::move(*hops);
    fleet::Reserve(mTraffic.fleet, mService->id, mHops, mTokens);
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
    return mReceivers.size() >= mRoute->maxAttempts ? mReceivers
                                                    : std::set<ServerId>{};
  }

  tl::expected<std::vector<fleet::Hop>, Error> ChooseOne(Instant aNow)
  {
    const auto choose = [&](const std::set<ServerId>& aFailed) {
      return fleet::ChooseServer(mTraffic.fleet,
                                 mService->id,
                                 aFailed,
                                 AllowedReceivers(),
                                 mTraffic.random.Next(),
                                 aNow);
    };
    auto hop = choose(mFailed);
    if (!hop && !mFailed.empty()) {
      hop = choose({});
    }
    return std::move(hop).map([](fleet::Hop aHop) {
      return std::vector<fleet::Hop>{ std::move(aHop) };
    });
  }

  tl::expected<std::vector<fleet::Hop>, Error> ChooseHops()
  {
    const auto now = Traffic::Now();
    const auto& engine = mService->engine;
    if (!engine) {
      return ChooseOne(now);
    }
    auto chain = ChooseChain(*engine, mFailed, now);
    if (!chain && !mFailed.empty()) {
      chain = ChooseChain(*engine, {}, now);
    }
    if (!chain) {
      return tl::unexpected(chain.error());
    }
    mTokens = chain->tokens;
    return std::move(chain->hops);
  }

  [[nodiscard]] tl::expected<fleet::Chain, Error> ChooseChain(
    const routing::EngineProfile& aEngine,
    const std::set<ServerId>& aFailed,
    Instant aNow) const
  {
    fleet::Demand demand{ .service = mService->id,
                          .promptTokens = aEngine.usualPrompt,
                          .answerTokens = aEngine.usualAnswer,
                          .failed = aFailed,
                          .receivers = AllowedReceivers(),
                          .draw = mTraffic.random.Next() };
    if (mInquiry.tokens) {
      demand.promptTokens = mInquiry.tokens->prompt;
      demand.answerTokens =
        mInquiry.tokens->expectedAnswer.value_or(aEngine.usualAnswer);
    }
    return fleet::ChooseChain(mTraffic.fleet, demand, aNow);
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
    NoteServer(mSentNow ? fleet::Finding::Broken : fleet::Finding::Unreachable);
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
    const auto workspace = mWorkspace ? mWorkspace->id : WorkspaceId{};
    const auto priority = mWorkspace && mWorkspace->priority
                            ? *mWorkspace->priority
                            : mRoute->priority;
    auto bytes = D::WriteRequest({ .head = mRequest.head,
                                   .body = mRequest.body,
                                   .left = left,
                                   .hops = mHops,
                                   .workspace = workspace,
                                   .priority = priority,
                                   .resumeAfter = mLastEvent });
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
    fleet::Note(mTraffic.fleet,
                mService->id,
                atFault,
                fleet::Finding::Full,
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
      NoteServer(fleet::Finding::Failed);
      mFailed.insert(mHops.front().server);
      mServerFailure = { head, answer.TakeBody() };
      mTraffic.pool.GiveBack(std::exchange(mServer, nullptr));
      OnAttemptEnd(forward::AttemptEnd::ServerFailed, "the server failed");
      return;
    }
    NoteServer(fleet::Finding::Answered);
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
    mEvents.Append(answer.TakeBody());
    std::string out;
    while (true) {
      const auto event = mEvents.Next();
      if (!event.has_value()) {
        break;
      }
      if (!TakeEvent(event.value(), out)) {
        SendEvents(std::move(out));
        NoteServer(fleet::Finding::Broken);
        OnAttemptEnd(forward::AttemptEnd::Broken,
                     "an event of the stream is missing");
        return;
      }
    }
    if (!out.empty()) {
      SendEvents(std::move(out));
    }
    if (answer.Complete()) {
      OnStreamEnd();
    }
  }

  /** Appends an event that follows the last one; drops one known already. */
  bool TakeEvent(const wire::StreamEvent& aEvent, std::string& aOut)
  {
    if (aEvent.id) {
      if (mLastEvent && *aEvent.id <= *mLastEvent) {
        return true;
      }
      if (mLastEvent && *aEvent.id != *mLastEvent + 1) {
        return false;
      }
      mLastEvent = aEvent.id;
    }
    ++mEventCount;
    if (UsesChunks()) {
      wire::AppendChunk(aOut, aEvent.bytes);
    } else {
      aOut += aEvent.bytes;
    }
    return true;
  }

  [[nodiscard]] bool UsesChunks() const { return mRequest.head.chunks; }

  void SendEvents(std::string aBytes)
  {
    if (aBytes.empty()) {
      return;
    }
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
      fleet::CountStream(mTraffic.fleet, mService->id, mHops, true);
    }
    fleet::NoteEvent(mTraffic.fleet, mService->id, mHops, interval, aNow);
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
    const bool again =
      verdict == forward::Verdict::Retry || verdict == forward::Verdict::Resume;
    const auto& engine = mService->engine;
    if (!again || !engine || !ChooseChain(*engine, mFailed, now) ||
        !mTraffic.budget.TakeRetry(mService->id, now)) {
      return;
    }
    mFault = aServer.Value();
    LogAttempt(forward::AttemptEnd::Broken, "a server of the chain is lost");
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
      NoteServer(fleet::Finding::Broken);
      OnAttemptEnd(forward::AttemptEnd::Broken,
                   "the stream ended within an event");
      return;
    }
    NoteServer(fleet::Finding::Answered);
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

  void NoteServer(fleet::Finding aFinding)
  {
    if (!mHops.empty()) {
      fleet::Note(mTraffic.fleet,
                  mService->id,
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
    LogAttempt(aEnd, aReason);
    LeaveServer();
    auto verdict = forward::Decide(mProgress, aEnd, Traffic::Now());
    const bool again =
      verdict == forward::Verdict::Retry || verdict == forward::Verdict::Resume;
    if (again && mProgress.sent > 0 &&
        !mTraffic.budget.TakeRetry(mService->id, Traffic::Now())) {
      verdict = forward::GiveUp(mProgress, aEnd);
      aReason = "the budget of retries is used up";
    }
    Conclude(verdict, MakeError(ErrorKind::BackendFailed, aReason));
  }

  void LeaveServer()
  {
    mFault.clear();
    DropServer();
    mEvents.Clear();
  }

  /** @brief Tries another server or ends the request. */
  void Conclude(forward::Verdict aVerdict, const Error& aError)
  {
    if (aVerdict == forward::Verdict::Resume) {
      mTraffic.metrics.Add(trace::Count::Recoveries);
    }
    if (aVerdict == forward::Verdict::Resume ||
        aVerdict == forward::Verdict::Retry) {
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
        aError.retryAfter =
          mService->engine
            ? fleet::ReturnAfter(mTraffic.fleet, mService->id, Traffic::Now())
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
        mTraffic.metrics.Add(trace::Outcome::Broken);
        CutCaller();
        End("cut");
        return;
    }
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
      fleet::CountStream(mTraffic.fleet, mService->id, mHops, false);
    }
    if (!mHops.empty()) {
      fleet::Release(mTraffic.fleet, mService->id, mHops, mTokens);
      mHops.clear();
    }
  }

  void End(std::string_view aHow)
  {
    mEnded = true;
    mDeadline.Clear();
    mTraffic.metrics.Record(trace::Timing::Request,
                            Traffic::Now() - mStartedAt);
    LogEnd(aHow);
    DropServer();
    mCaller = nullptr;
    if (const auto done = std::exchange(mDone, nullptr)) {
      done();
    }
  }

  [[nodiscard]] std::string HopText() const
  {
    std::string text;
    for (const auto& hop : mHops) {
      text += text.empty() ? "" : ",";
      text += hop.address;
      if (hop.layers.end > 0) {
        text += '=' + std::to_string(hop.layers.begin) + '-' +
                std::to_string(hop.layers.end);
      }
    }
    return text;
  }

  void LogAttempt(forward::AttemptEnd aEnd, std::string_view aReason) const
  {
    trace::Event event{ "attempt_failed" };
    event.With("request", mInquiry.id)
      .With("service", mService->id)
      .With("servers", HopText())
      .With("reason", aReason)
      .With("end", static_cast<int>(aEnd))
      .With("sent", mProgress.sent)
      .With("events", mEventCount)
      .With("age_ms", Traffic::Now() - mStartedAt);
    if (!mFault.empty()) {
      event.With("at_fault", mFault);
    }
  }

  void LogEnd(std::string_view aHow) const
  {
    trace::Event event{ "request_ended" };
    event.With("request", mInquiry.id).With("how", aHow);
    if (mRoute != nullptr) {
      event.With("route", mRoute->name);
    }
    if (mRoutes) {
      event.With("configuration", mRoutes->Source().number.Value());
    }
    if (!mError.empty()) {
      event.With("error", mError).With("detail", mDetail);
    }
    event.With("servers", HopText())
      .With("sent", mProgress.sent)
      .With("total_ms", Traffic::Now() - mStartedAt);
    if (mProgress.answering) {
      event.With("events", mEventCount)
        .With("first_ms", mFirstEventAt - mStartedAt)
        .With("pause_ms", mLongestPause);
    }
  }

  /** When to come back to a host that has just started. */
  static constexpr Duration kStartRetry = std::chrono::milliseconds{ 500 };
  static constexpr Duration kOverloadRetry = std::chrono::milliseconds{ 300 };
  /** A few times the usual time of a call of a plain service. */
  static constexpr Duration kPlainRetry = std::chrono::milliseconds{ 100 };

  Traffic& mTraffic;
  std::shared_ptr<Caller> mCaller;
  IncomingRequest mRequest;
  std::shared_ptr<const routing::Table> mRoutes;
  Timer mDeadline;
  Instant mStartedAt;
  Inquiry mInquiry;
  const routing::Route* mRoute{};
  const routing::Workspace* mWorkspace{};
  const routing::Service* mService{};
  forward::Progress mProgress;
  std::set<ServerId> mFailed;
  std::vector<fleet::Hop> mHops;
  double mTokens{};
  std::shared_ptr<ServerConnection> mServer;
  bool mSentNow{ false };
  bool mRunBefore{ false };
  wire::EventSplitter mEvents;
  std::optional<std::uint64_t> mLastEvent;
  std::uint32_t mEventCount{};
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
