#pragma once

#include "balsampoint/edge/admission.hpp"
#include "balsampoint/edge/answer_body.hpp"
#include "balsampoint/edge/attempt.hpp"
#include "balsampoint/edge/crash_watch.hpp"
#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/exchange_log.hpp"
#include "balsampoint/edge/exchange_observers.hpp"
#include "balsampoint/edge/fingerprint.hpp"
#include "balsampoint/edge/response_relay.hpp"
#include "balsampoint/edge/server_statements.hpp"
#include "balsampoint/edge/traffic_state.hpp"
#include "balsampoint/fleet/query/retry_after.hpp"
#include "balsampoint/forward/answer_check.hpp"
#include "balsampoint/forward/decision.hpp"
#include "balsampoint/reach/query/choose_detour.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace balsampoint::edge {

/**
 * @brief One request from its arrival to the end of its response, over all
 * attempts at servers.
 * @tparam D Encoding of requests and responses.
 * @tparam Caller Type of the caller's connection.
 */
template<Dialect D, typename Caller>
class BasicExchange
  : public std::enable_shared_from_this<BasicExchange<D, Caller>>
{
public:
  /**
   * @brief Makes an exchange for a request.
   * @param aTraffic State of the traffic thread; outlives the exchange.
   * @param aCaller The caller's connection.
   * @param aRequest The request.
   */
  BasicExchange(TrafficState& aTraffic,
                std::shared_ptr<Caller> aCaller,
                IncomingRequest aRequest)
    : mTraffic{ aTraffic }
    , mObservers{ aTraffic }
    , mRequest{ std::move(aRequest) }
    , mDeadlineTimer{ aTraffic.loop.Context() }
    , mResumeTimer{ aTraffic.loop.Context() }
    , mRetryTimer{ aTraffic.loop.Context() }
    , mLinkTimer{ aTraffic.loop.Context() }
    , mStartedAt{ TrafficState::Now() }
    , mRelay{ aTraffic, std::move(aCaller), mRequest.head, mStartedAt }
    , mAttempt{ aTraffic }
  {
  }

  BasicExchange(const BasicExchange&) = delete;
  BasicExchange& operator=(const BasicExchange&) = delete;
  BasicExchange(BasicExchange&&) = delete;
  BasicExchange& operator=(BasicExchange&&) = delete;

  ~BasicExchange() = default;

  /**
   * @brief Admits the request and starts the first attempt.
   * @param aDone Called once when the exchange has ended.
   */
  void Start(std::function<void()> aDone)
  {
    mDone = std::move(aDone);
    mObservers.Observe(
      [self = this->weak_from_this()](const ServerId& aServer) {
        if (const auto exchange = self.lock()) {
          exchange->OnServerLost(aServer);
        }
      },
      [self = this->weak_from_this()] {
        if (const auto exchange = self.lock()) {
          exchange->OnQuarantine();
        }
      },
      [self = this->weak_from_this()] {
        if (const auto exchange = self.lock()) {
          exchange->OnLinkChanged();
        }
      });
    const auto admitted = Admit().and_then([this] {
      mFingerprint = Fingerprint({ .workspace = Workspace(),
                                   .method = mRequest.head.method,
                                   .host = mParameters.host,
                                   .target = mRequest.head.target,
                                   .body = mRequest.body });
      mCrashWatch = CrashWatch{ mFingerprint, mParameters.sharedParts };
      return mCrashWatch.Admit(mTraffic);
    });
    if (!admitted) {
      AnswerError(admitted.error());
      return;
    }
    SetDeadline();
    mTraffic.budget.CountRequest(mAdmission.service->id, TrafficState::Now());
    StartAttempt();
  }

  /** @brief Cancels the request because the caller has disconnected. */
  void OnCallerDisconnected()
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
    // Without a configuration every request is refused as not ready, whatever
    // its parameters are.
    if (!mTraffic.routes) {
      return edge::Admit(mTraffic, mParameters, {}, mAdmission);
    }
    auto parameters = D::ReadRequestParameters(mRequest.head);
    if (!parameters) {
      return tl::unexpected(parameters.error());
    }
    mParameters = std::move(*parameters);
    auto admitted =
      edge::Admit(mTraffic, mParameters, mRequest.head.Path(), mAdmission);
    if (admitted) {
      mProgress.kind = mAdmission.route->kind;
      mRelay.StartStream(mParameters.resumeAfter);
    }
    return admitted;
  }

  void SetDeadline()
  {
    auto wait = mAdmission.route->timeout;
    if (mParameters.timeout) {
      wait = std::min(wait, *mParameters.timeout);
    }
    mProgress.deadline = mStartedAt + wait;
    mDeadlineTimer.Set(wait, [self = this->weak_from_this()] {
      if (const auto exchange = self.lock()) {
        exchange->OnDeadline();
      }
    });
  }

  /** Workspace of the caller; empty on public routes. */
  [[nodiscard]] WorkspaceId Workspace() const
  {
    return mAdmission.workspace ? mAdmission.workspace->id : WorkspaceId{};
  }

  [[nodiscard]] bool IsStream() const
  {
    return mProgress.kind == routing::RequestKind::Stream ||
           mProgress.kind == routing::RequestKind::ResumableStream;
  }

  void StartAttempt()
  {
    mCrashWatch.Restart();
    const auto receivers = AllowedReceivers();
    const auto chosen =
      mAttempt.Choose(*mAdmission.service, mParameters, { mFailed, receivers });
    if (!chosen) {
      GiveUp(chosen.error());
      return;
    }
    OpenConnection();
  }

  void GiveUp(const Error& aError)
  {
    const auto end = mProgress.mayHaveRun ? forward::AttemptEnd::Broken
                                          : forward::AttemptEnd::NotSent;
    FinishAttempts(forward::GiveUp(mProgress, end), aError);
  }

  /** Sends the request on a connection that is kept, or opens one. */
  void OpenConnection()
  {
    // The server may close an idle connection as a request is sent on it, which
    // may then have run. Requests that may run only once get a new connection.
    const bool mayReuse =
      mProgress.kind != routing::RequestKind::NonIdempotent &&
      mProgress.kind != routing::RequestKind::Stream;
    const ServerObserver observer =
      [self = this->weak_from_this()](ServerSignal aSignal) {
        if (const auto exchange = self.lock()) {
          exchange->OnSignal(aSignal);
        }
      };
    const auto idle =
      mayReuse ? mAttempt.TakeIdle(mParameters.id, observer) : std::nullopt;
    mIdleTime = idle.value_or(Duration{});
    if (!idle && reach::IsIsolated(mTraffic.reach, TrafficState::Now())) {
      EndAttempt();
      GiveUp(MakeError(ErrorKind::NoServer, "this host reaches no servers"));
      return;
    }
    mSentInAttempt = false;
    mReused = idle.has_value();
    mStatementsRead = false;
    mStrangeAnswerLogged = false;
    if (idle) {
      SendRequest();
    } else {
      mAttempt.Connect(observer);
    }
  }

  /** Servers that may receive the next attempt; empty for any. Once the request
   * was sent to `maxAttempts` distinct servers, only these are allowed. */
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
      case ServerSignal::ResponseData:
        OnResponseData();
        return;
      case ServerSignal::Lost:
        break;
    }
    if (!mSentInAttempt) {
      OnNotConnected();
      return;
    }
    if (WasStale()) {
      mAttempt.RecordOutcome(fleet::RequestOutcome::Broken);
      OnAttemptEnd(forward::AttemptEnd::Broken,
                   "the server had closed the connection");
      return;
    }
    if (LinkWasCut()) {
      OnAttemptEnd(forward::AttemptEnd::Broken, kLinkLost);
      return;
    }
    ProbeBreak();
  }

  /** How a connection that broke was opened, and the probe after it. */
  struct BreakPaths
  {
    bool serverByDetour{ false };
    bool probeByDetour{ false };
  };

  void ProbeBreak()
  {
    const bool serverByDetour = mAttempt.Connection().HasDetour();
    mAttempt.Probe([self = this->weak_from_this(),
                    serverByDetour](ProbeResult aResult, bool aByDetour) {
      const auto exchange = self.lock();
      if (exchange && !exchange->mEnded) {
        exchange->OnBreakProbed(aResult, { serverByDetour, aByDetour });
      }
    });
  }

  void OnNotConnected()
  {
    const bool direct = !mAttempt.Connection().HasDetour();
    const bool linkIsDown = mTraffic.reach.link == reach::Link::Down;
    if (!mAttempt.Connection().DetourFailed() && !(direct && linkIsDown)) {
      mAttempt.RecordOutcome(fleet::RequestOutcome::Unreachable);
    }
    if (direct) {
      mTraffic.links.OnConnectionFailed();
    }
    OnAttemptEnd(forward::AttemptEnd::NotSent,
                 mAttempt.Connection().DetourFailed()
                   ? "the detour can't be used"
                   : "the server can't be reached");
  }

  /** Whether the link of this host, not the server, explains why the connection
   * of the attempt broke. */
  [[nodiscard]] bool LinkWasCut() const
  {
    const auto& reach = mTraffic.reach;
    return mAttempt.HasConnection() && !mAttempt.Connection().HasDetour() &&
           (reach.link == reach::Link::Down || mSentAt < reach.changedAt);
  }

  /** Continues after the connection to the server broke, once it is known
   * whether the server accepts others. */
  void OnBreakProbed(ProbeResult aResult, BreakPaths aPaths)
  {
    if (mAttempt.HasRestarted()) {
      OnServerBroke(ServerBreak::Crash);
      return;
    }
    if (aResult != ProbeResult::Refuses && aPaths.serverByDetour) {
      // The host on the way may have broken it.
      OnAttemptEnd(forward::AttemptEnd::Broken, "the detour broke");
      return;
    }
    if (aResult != ProbeResult::Refuses) {
      OnServerBroke(ServerBreak::Reset);
      return;
    }
    if (aPaths.probeByDetour) {
      // The host that opened the probe reaches other servers.
      OnServerBroke(ServerBreak::Crash);
      return;
    }
    mTraffic.links.Check([self = this->weak_from_this()](bool aReached) {
      const auto exchange = self.lock();
      if (exchange && !exchange->mEnded) {
        exchange->OnLinkChecked(aReached);
      }
    });
  }

  /** Continues after a server that broke its connection accepts no other, once
   * it is known whether this host reaches any. */
  void OnLinkChecked(bool aReached)
  {
    if (!aReached) {
      OnAttemptEnd(forward::AttemptEnd::Broken, kLinkLost);
      return;
    }
    // A server at its limit of connections closes new ones and keeps others.
    OnServerBroke(mTraffic.pool.IsConnected(mAttempt.Hops().front().address)
                    ? ServerBreak::Reset
                    : ServerBreak::Crash);
  }

  void OnServerBroke(ServerBreak aBreak)
  {
    mAttempt.RecordOutcome(fleet::RequestOutcome::Broken);
    mCrashWatch.OnServerBroke(mTraffic, mAttempt.Hops().front(), aBreak);
    OnAttemptEnd(forward::AttemptEnd::Broken,
                 aBreak == ServerBreak::Crash
                   ? "the server crashed"
                   : "the connection to the server broke");
  }

  /** Gives a connection of this host up that its lost link has cut: at once
   * while nothing was sent, else if the server stays silent. */
  void OnLinkChanged()
  {
    if (mEnded || !mAttempt.HasConnection() ||
        mAttempt.Connection().HasDetour() ||
        !reach::UsesDetours(mTraffic.reach, TrafficState::Now())) {
      return;
    }
    if (!mSentInAttempt) {
      OnAttemptEnd(forward::AttemptEnd::NotSent, kLinkLost);
      return;
    }
    if (forward::MayRepeat(mProgress.kind)) {
      mLinkTimer.Set(
        kLinkSilence,
        [self = this->weak_from_this(), since = TrafficState::Now()] {
          if (const auto exchange = self.lock()) {
            exchange->OnLinkSilent(since);
          }
        });
    }
  }

  void OnLinkSilent(Instant aSince)
  {
    if (mEnded || !mAttempt.HasConnection() ||
        mAttempt.Connection().HasDetour() ||
        mAttempt.Connection().LastReadAt() >= aSince || mSentAt >= aSince) {
      return;
    }
    if (IsStream()) {
      OnAttemptEnd(forward::AttemptEnd::Broken, kLinkLost);
      return;
    }
    // The server may still be at work on it if only new connections fail, so
    // the attempt goes on unless another one is allowed.
    const auto decision = forward::Decide(
      mProgress, forward::AttemptEnd::Broken, TrafficState::Now());
    if (decision != forward::Decision::Retry ||
        !mCrashWatch.MayRetry(mTraffic) || !ConsumeRetry(decision)) {
      return;
    }
    LogAttempt(
      LogFields(), forward::AttemptEnd::Broken, kLinkLost, mServerAtFault);
    EndAttempt();
    ApplyDecision(forward::Decision::Retry,
                  MakeError(ErrorKind::BackendFailed, kLinkLost));
  }

  /** Whether the server had probably closed an idle connection before the
   * request arrived: such a connection breaks at once. */
  [[nodiscard]] bool WasStale() const
  {
    return mIdleTime >= kMinIdleTimeout &&
           TrafficState::Now() - mSentAt < kStaleConnectionTime;
  }

  void SendRequest()
  {
    mSentAt = TrafficState::Now();
    const auto left = mProgress.deadline - mSentAt;
    if (left <= Duration{}) {
      OnDeadline();
      return;
    }
    mSentInAttempt = true;
    mInterimAnswers = 0;
    ++mProgress.sent;
    mReceivers.insert(mAttempt.Hops().front().server);
    mMayHaveRunBefore = mProgress.mayHaveRun;
    mProgress.mayHaveRun = true;
    const auto priority = mAdmission.workspace && mAdmission.workspace->priority
                            ? *mAdmission.workspace->priority
                            : mAdmission.route->priority;
    auto bytes = D::WriteRequest({ .head = mRequest.head,
                                   .body = mRequest.body,
                                   .remainingTime = left,
                                   .hops = mAttempt.Hops(),
                                   .workspace = Workspace(),
                                   .priority = priority,
                                   .resumeAfter = mRelay.Events().LastId() });
    mAttempt.Connection().Send({ .bytes = std::move(bytes),
                                 .id = mParameters.id,
                                 .isHead = mRequest.head.method == "HEAD" });
  }

  void OnResponseData()
  {
    auto& parser = mAttempt.Connection().ResponseParser();
    if (!parser.HasHead()) {
      return;
    }
    const auto& head = parser.Response();
    const auto metadata = D::ReadResponse(head);
    const auto verdict = Check(head, metadata);
    if (verdict != forward::AnswerVerdict::Own) {
      OnStrangeAnswer(verdict, head, metadata);
      return;
    }
    FollowStatementsOnce(metadata);
    if (metadata.notExecuted) {
      OnNotExecuted(metadata);
      return;
    }
    if (IsStream() && head.Success()) {
      OnStreamData();
      return;
    }
    if (parser.Complete()) {
      OnCompleteResponse();
    }
  }

  [[nodiscard]] forward::AnswerVerdict Check(
    const wire::ResponseHead& aHead,
    const ResponseMetadata& aMetadata) const
  {
    return forward::CheckAnswer(
      { .status =
          aHead.HasStatus() ? std::optional{ aHead.status } : std::nullopt,
        .interimBefore = mInterimAnswers,
        .namedRequests = aMetadata.namedRequests,
        .namesThisRequest = aMetadata.request == mParameters.id.Value(),
        .authenticationCodes = aMetadata.authenticationCodes,
        .hasContentCoding = aMetadata.hasContentCoding,
        .partRequested = mRequest.head.fields.Count("Range") > 0,
        .endsByClose = aHead.endsByClose });
  }

  /** Skips an answer that isn't the one to this request, or ends the attempt if
   * the right one can't be told from what follows. */
  void OnStrangeAnswer(forward::AnswerVerdict aVerdict,
                       const wire::ResponseHead& aHead,
                       const ResponseMetadata& aMetadata)
  {
    if (aVerdict != forward::AnswerVerdict::Interim &&
        !std::exchange(mStrangeAnswerLogged, true)) {
      LogDiscarded(forward::Describe(aVerdict),
                   aHead,
                   aMetadata.request.value_or(std::string_view{}));
    }
    if (forward::MaySkip(aVerdict)) {
      mInterimAnswers += aVerdict == forward::AnswerVerdict::Interim ? 1 : 0;
      SkipResponse();
      return;
    }
    mAttempt.RecordOutcome(fleet::RequestOutcome::Broken);
    OnAttemptEnd(forward::AttemptEnd::Broken, forward::Describe(aVerdict));
  }

  void SkipResponse()
  {
    auto& parser = mAttempt.Connection().ResponseParser();
    if (parser.Complete()) {
      mStrangeAnswerLogged = false;
      mAttempt.Connection().SkipResponse();
    } else {
      // The response to this request begins after the end of this body.
      static_cast<void>(parser.TakeBody());
    }
  }

  void FollowStatementsOnce(const ResponseMetadata& aMetadata)
  {
    if (!std::exchange(mStatementsRead, true)) {
      if (!mReused && !mAttempt.Connection().HasDetour()) {
        mTraffic.links.OnConnected();
      }
      FollowStatements(mTraffic,
                       mAdmission.service->id,
                       mAttempt.Hops().front(),
                       mParameters.id,
                       aMetadata);
    }
  }

  void OnNotExecuted(const ResponseMetadata& aMetadata)
  {
    mProgress.mayHaveRun = mMayHaveRunBefore;
    const std::string atFault{ aMetadata.atFault.value_or(
      mAttempt.Hops().front().address) };
    mAttempt.RecordOutcome(fleet::RequestOutcome::Full, atFault);
    for (const auto& hop : mAttempt.Hops()) {
      if (hop.address == atFault) {
        mFailed.insert(hop.server);
      }
    }
    mServerAtFault = atFault;
    if (mAttempt.Connection().ResponseParser().Complete()) {
      mAttempt.ReturnConnection();
    }
    OnAttemptEnd(forward::AttemptEnd::NotExecuted,
                 "the server has not run the request");
  }

  void OnCompleteResponse()
  {
    auto& parser = mAttempt.Connection().ResponseParser();
    const auto& head = parser.Response();
    auto body = parser.TakeBody();
    const auto own =
      CheckBody<D>(head, body, mAttempt.Connection().UnreadBytes());
    if (own.verdict != forward::BodyVerdict::Whole) {
      LogDiscarded(
        forward::Describe(own.verdict), head, mParameters.id.Value());
    }
    if (own.verdict == forward::BodyVerdict::Mixed) {
      mAttempt.RecordOutcome(fleet::RequestOutcome::Broken);
      OnAttemptEnd(forward::AttemptEnd::Broken, forward::Describe(own.verdict));
      return;
    }
    body.resize(own.size);
    constexpr std::uint16_t kFirstServerError = 500;
    if (head.status >= kFirstServerError) {
      mAttempt.RecordOutcome(fleet::RequestOutcome::Failed);
      mFailed.insert(mAttempt.Hops().front().server);
      mServerErrorResponse = { head, std::move(body) };
      mAttempt.ReturnConnection();
      OnAttemptEnd(forward::AttemptEnd::ServerFailed,
                   "the server answered with a 5xx status");
      return;
    }
    mAttempt.RecordOutcome(fleet::RequestOutcome::Answered);
    mCrashWatch.OnComplete(mTraffic);
    ForwardResponse(head, body);
  }

  void LogDiscarded(std::string_view aReason,
                    const wire::ResponseHead& aHead,
                    std::string_view aNamedRequest)
  {
    mTraffic.metrics.Add(trace::Count::AnswersDiscarded);
    LogDiscardedAnswer(
      mParameters.id,
      aReason,
      { .server = mAttempt.Hops().front(),
        .status = aHead.status,
        .namedRequest = aNamedRequest,
        .requestsOnConnection = mAttempt.Connection().RequestCount(),
        .sinceSent = TrafficState::Now() - mSentAt });
  }

  void ForwardResponse(const wire::ResponseHead& aHead,
                       const std::string& aBody)
  {
    mRelay.Forward(aHead, aBody);
    mAttempt.ReturnConnection();
    End("answered");
  }

  void OnStreamData()
  {
    auto& parser = mAttempt.Connection().ResponseParser();
    const bool whole = mRelay.Read(parser.TakeBody());
    if (mRelay.HasPending()) {
      SendEvents();
    }
    if (!whole) {
      mAttempt.RecordOutcome(fleet::RequestOutcome::Broken);
      OnAttemptEnd(
        forward::AttemptEnd::Broken,
        "an event is missing from the stream, or is that of another");
      return;
    }
    if (parser.Complete()) {
      OnStreamEnd();
    }
  }

  void SendEvents()
  {
    if (!mProgress.answerStarted) {
      BeginResponse();
    }
    mCrashWatch.OnEvents(mTraffic);
    const auto now = TrafficState::Now();
    mAttempt.RecordEvents(now - mRelay.LastEventAt(), now);
    mRelay.SendPending(now);
  }

  /**
   * Moves the request away from a server that no longer accepts connections.
   * That server may still be running the request, so this happens only if
   * another chain has room.
   */
  void OnServerLost(const ServerId& aServer)
  {
    const bool passes =
      std::ranges::any_of(mAttempt.Hops(), [&](const fleet::Hop& aHop) {
        return aHop.server == aServer && aHop.layers.end > 0;
      });
    if (mEnded || !passes || !mAttempt.HasConnection() || !mSentInAttempt) {
      return;
    }
    if (mFailed.insert(aServer).second) {
      const auto lost =
        std::ranges::find(mAttempt.Hops(), aServer, &fleet::Hop::server);
      mCrashWatch.OnServerBroke(mTraffic, *lost, ServerBreak::Crash);
    }
    const auto now = TrafficState::Now();
    const auto decision =
      forward::Decide(mProgress, forward::AttemptEnd::Broken, now);
    const auto receivers = AllowedReceivers();
    const bool waits =
      decision == forward::Decision::Retry && mCrashWatch.MustWait(mTraffic);
    if (!forward::NeedsAttempt(decision) || !mCrashWatch.MayResume() ||
        (decision == forward::Decision::Retry &&
         !mCrashWatch.MayRetry(mTraffic)) ||
        !OtherChainHasRoom(
          mTraffic, *mAdmission.service, mParameters, { mFailed, receivers }) ||
        (!waits && !ConsumeRetry(decision))) {
      return;
    }
    mServerAtFault = aServer.Value();
    LogAttempt(LogFields(),
               forward::AttemptEnd::Broken,
               "a server of the chain is lost",
               mServerAtFault);
    EndAttempt();
    if (waits) {
      RetryLater(forward::AttemptEnd::Broken);
      return;
    }
    ApplyDecision(decision, {});
  }

  /** Cancels the request if no answer has begun and it, or its prompt, is in
   * quarantine: the server drops it once the connection is closed. */
  void OnQuarantine()
  {
    if (mEnded || mProgress.answerStarted || !mAttempt.HasConnection() ||
        !mCrashWatch.InQuarantine(mTraffic)) {
      return;
    }
    const auto end = mSentInAttempt ? forward::AttemptEnd::Broken
                                    : forward::AttemptEnd::NotSent;
    EndAttempt();
    FinishAttempts(forward::GiveUp(mProgress, end),
                   MakeError(ErrorKind::NoServer,
                             "servers crash under the request or its prompt"));
  }

  void BeginResponse()
  {
    mProgress.answerStarted = true;
    mRelay.Begin(mAttempt.Connection().ResponseParser().Response(),
                 TrafficState::Now());
  }

  void OnStreamEnd()
  {
    if (mRelay.Events().HasPartialEvent()) {
      mAttempt.RecordOutcome(fleet::RequestOutcome::Broken);
      OnAttemptEnd(forward::AttemptEnd::Broken,
                   "the stream ended in the middle of an event");
      return;
    }
    if (!mRelay.Events().LastId() && mRelay.Events().SentCount() == 0) {
      mAttempt.RecordOutcome(fleet::RequestOutcome::Broken);
      OnAttemptEnd(forward::AttemptEnd::Broken,
                   "the stream ended before its first event");
      return;
    }
    mAttempt.RecordOutcome(fleet::RequestOutcome::Answered);
    mCrashWatch.OnComplete(mTraffic);
    if (!mProgress.answerStarted) {
      BeginResponse();
    }
    mRelay.EndStream();
    mAttempt.ReturnConnection();
    End("answered");
  }

  void OnAttemptEnd(forward::AttemptEnd aEnd, std::string_view aReason)
  {
    if (aEnd == forward::AttemptEnd::NotSent) {
      ++mProgress.failedBeforeSend;
    }
    const bool unknownFault = mServerAtFault.empty();
    if (aEnd == forward::AttemptEnd::NotSent ||
        (aEnd == forward::AttemptEnd::Broken && unknownFault)) {
      mFailed.insert(mAttempt.Hops().front().server);
    }
    LogAttempt(LogFields(), aEnd, aReason, mServerAtFault);
    EndAttempt();
    auto decision = forward::Decide(mProgress, aEnd, TrafficState::Now());
    if (decision == forward::Decision::Retry && mProgress.sent > 0 &&
        !mCrashWatch.MayRetry(mTraffic)) {
      decision = forward::GiveUp(mProgress, aEnd);
      aReason = kMayCrashServers;
    } else if (decision == forward::Decision::Resume &&
               !mCrashWatch.MayResume()) {
      decision = forward::GiveUp(mProgress, aEnd);
    } else if (decision == forward::Decision::Retry &&
               aEnd == forward::AttemptEnd::Broken &&
               mCrashWatch.MustWait(mTraffic)) {
      RetryLater(aEnd);
      return;
    } else if (forward::NeedsAttempt(decision) && mProgress.sent > 0 &&
               !ConsumeRetry(decision)) {
      decision = forward::GiveUp(mProgress, aEnd);
      aReason = "the budget of retries is used up";
    }
    ApplyDecision(decision, MakeError(ErrorKind::BackendFailed, aReason));
  }

  /** Sends the request again after a while, unless it comes again before or
   * crashes another server, or gives up if there is no time for that. */
  void RetryLater(forward::AttemptEnd aEnd)
  {
    const auto delay = mTraffic.quarantine.settings.repeatDelay;
    if (TrafficState::Now() + delay + forward::kMinAttemptTime >=
        mProgress.deadline) {
      ApplyDecision(forward::GiveUp(mProgress, aEnd), CrashError());
      return;
    }
    mRetryTimer.Set(delay, [self = this->weak_from_this(), aEnd] {
      if (const auto exchange = self.lock()) {
        exchange->OnRetryTime(aEnd);
      }
    });
  }

  void OnRetryTime(forward::AttemptEnd aEnd)
  {
    if (mEnded) {
      return;
    }
    auto decision = forward::Decide(mProgress, aEnd, TrafficState::Now());
    if (!mCrashWatch.MayRepeat(mTraffic) ||
        (forward::NeedsAttempt(decision) && !ConsumeRetry(decision))) {
      decision = forward::GiveUp(mProgress, aEnd);
    }
    ApplyDecision(decision, CrashError());
  }

  static Error CrashError()
  {
    return MakeError(ErrorKind::BackendFailed, kMayCrashServers);
  }

  bool ConsumeRetry(forward::Decision aDecision)
  {
    const auto use = aDecision == forward::Decision::Resume
                       ? forward::RetryPurpose::Resume
                       : forward::RetryPurpose::Repeat;
    return mTraffic.budget.TakeRetry(
      mAdmission.service->id, use, TrafficState::Now());
  }

  void EndAttempt()
  {
    mServerAtFault.clear();
    mAttempt.Release();
    mRelay.EndPart();
  }

  /** Starts another attempt or ends the exchange, according to the decision. */
  void ApplyDecision(forward::Decision aDecision, const Error& aError)
  {
    if (aDecision == forward::Decision::Resume) {
      mTraffic.metrics.Add(trace::Count::Recoveries);
    }
    if (forward::NeedsAttempt(aDecision)) {
      StartAttempt();
      return;
    }
    FinishAttempts(aDecision, aError);
  }

  /** Ends the exchange without another attempt. A broken resumable stream first
   * waits for a chain with room. */
  void FinishAttempts(forward::Decision aDecision, Error aError)
  {
    switch (aDecision) {
      case forward::Decision::PassOn:
        ForwardResponse(mServerErrorResponse.first,
                        mServerErrorResponse.second);
        return;
      case forward::Decision::Resume:
      case forward::Decision::Retry:
      case forward::Decision::Refuse:
        aError.kind = ErrorKind::NoServer;
        aError.executed = Executed::No;
        aError.retryAfter = fleet::RetryAfter(
          mTraffic.fleet, mAdmission.service->id, TrafficState::Now());
        AnswerError(aError);
        return;
      case forward::Decision::Fail:
        aError.kind = ErrorKind::BackendFailed;
        aError.executed = Executed::Unknown;
        aError.retryAfter = {};
        AnswerError(aError);
        return;
      case forward::Decision::Abort:
        if (MayWaitToResume()) {
          mResumeTimer.Set(kResumeInterval, [self = this->weak_from_this()] {
            if (const auto exchange = self.lock()) {
              exchange->ResumeIfPossible();
            }
          });
          return;
        }
        mTraffic.metrics.Add(trace::Outcome::Broken);
        ResetCaller();
        End("cut");
        return;
    }
  }

  /** Whether the caller can be expected to wait for another attempt to resume
   * the stream. */
  [[nodiscard]] bool MayWaitToResume() const
  {
    const auto next = TrafficState::Now() + kResumeInterval;
    return mProgress.kind == routing::RequestKind::ResumableStream &&
           mCrashWatch.MayResume() &&
           next < mRelay.LastEventAt() + kMaxResumeWait &&
           next < mProgress.deadline;
  }

  void ResumeIfPossible()
  {
    if (mEnded) {
      return;
    }
    const auto receivers = AllowedReceivers();
    const bool room = OtherChainHasRoom(
      mTraffic, *mAdmission.service, mParameters, { {}, receivers });
    if (!room || !ConsumeRetry(forward::Decision::Resume)) {
      FinishAttempts(forward::Decision::Abort, {});
      return;
    }
    ApplyDecision(forward::Decision::Resume, {});
  }

  void OnDeadline()
  {
    if (mEnded) {
      return;
    }
    if (mProgress.answerStarted) {
      mTraffic.metrics.Add(trace::Outcome::Broken);
      ResetCaller();
      End("cut_at_deadline");
      return;
    }
    auto error = MakeError(mProgress.mayHaveRun ? ErrorKind::DeadlineExceeded
                                                : ErrorKind::NoServer,
                           "no response arrived before the deadline");
    AnswerError(error);
  }

  void AnswerError(const Error& aError)
  {
    mTraffic.metrics.Add(trace::Outcome::Refused);
    mTraffic.metrics.Add(aError.kind);
    mError = AnswerFor(aError.kind).name;
    mDetail = aError.detail;
    mRelay.Refuse(D::WriteRefusal(aError, mRelay.KeepsAlive()));
    End("refused");
  }

  void ResetCaller()
  {
    mEnded = true;
    mRelay.Cut();
  }

  void End(std::string_view aOutcome)
  {
    mEnded = true;
    mDeadlineTimer.Clear();
    mResumeTimer.Clear();
    mRetryTimer.Clear();
    mLinkTimer.Clear();
    mTraffic.metrics.Record(trace::Timing::Request,
                            TrafficState::Now() - mStartedAt);
    LogEnd(LogFields(),
           aOutcome,
           mError,
           mDetail,
           mProgress.answerStarted ? std::optional{ mRelay.Times() }
                                   : std::nullopt);
    mAttempt.Release();
    mRelay.Detach();
    if (const auto done = std::exchange(mDone, nullptr)) {
      done();
    }
  }

  [[nodiscard]] RequestLogFields LogFields() const
  {
    return { .request = mParameters.id,
             .admission = mAdmission,
             .hops = mAttempt.Hops(),
             .fingerprint = mFingerprint,
             .sharedParts = mParameters.sharedParts,
             .sent = mProgress.sent,
             .events = mRelay.Events().SentCount(),
             .age = TrafficState::Now() - mStartedAt };
  }

  static constexpr std::string_view kLinkLost =
    "this host has lost its link to the servers";
  /** Time without a byte after which a connection counts as cut with the link;
   * longer than most servers pause between two events. */
  static constexpr Duration kLinkSilence = std::chrono::milliseconds{ 150 };
  static constexpr std::string_view kMayCrashServers =
    "the request may crash another server";
  /** Shortest time after which a server is expected to close an idle
   * connection. */
  static constexpr Duration kMinIdleTimeout = std::chrono::milliseconds{ 250 };
  /** Time within which a connection that the server had closed before breaks;
   * a server reads a prompt for longer before it begins an answer. */
  static constexpr Duration kStaleConnectionTime =
    std::chrono::milliseconds{ 10 };
  /** Time since the last event during which a broken stream looks for another
   * chain; callers disconnect after 2 s or more without an event. */
  static constexpr Duration kMaxResumeWait = std::chrono::milliseconds{ 1500 };
  /** Time between two searches for another chain: half the interval at which
   * hosts report their use of servers to each other. */
  static constexpr Duration kResumeInterval = std::chrono::milliseconds{ 100 };

  TrafficState& mTraffic;
  ExchangeObservers mObservers;
  IncomingRequest mRequest;
  net::Timer mDeadlineTimer;
  net::Timer mResumeTimer;
  net::Timer mRetryTimer;
  net::Timer mLinkTimer;
  Instant mStartedAt;
  ResponseRelay<Caller> mRelay;
  RequestParameters mParameters;
  Admission mAdmission;
  std::string mFingerprint;
  forward::Progress mProgress;
  std::set<ServerId> mFailed;
  Attempt mAttempt;
  /** How long the connection of this attempt was idle before. */
  Duration mIdleTime{};
  /** When the request was last sent. */
  Instant mSentAt{};
  /** Whether the request was sent in this attempt. */
  bool mSentInAttempt{ false };
  /** Whether the connection of this attempt had been used before. */
  bool mReused{ false };
  /** Whether what this attempt's answer says of its server was followed. */
  bool mStatementsRead{ false };
  /** Whether the answer in progress was logged as not the one to this request.
   */
  bool mStrangeAnswerLogged{ false };
  /** Number of interim answers in this attempt. */
  std::uint32_t mInterimAnswers{};
  /** Value of `mProgress.mayHaveRun` before this attempt. */
  bool mMayHaveRunBefore{ false };
  CrashWatch mCrashWatch;
  /** Last 5xx response of a server, forwarded on `Decision::PassOn`. */
  std::pair<wire::ResponseHead, std::string> mServerErrorResponse;
  /** Address or id of the server that failed this attempt; empty if unknown. */
  std::string mServerAtFault;
  std::string mError;
  std::string mDetail;
  /** Servers to which the request was sent in any attempt. */
  std::set<ServerId> mReceivers;
  std::function<void()> mDone;
  bool mEnded{ false };
};

} // namespace balsampoint::edge
