#pragma once

#include "balsampoint/edge/admitted_request.hpp"
#include "balsampoint/edge/answer_body.hpp"
#include "balsampoint/edge/attempt.hpp"
#include "balsampoint/edge/attempt_events.hpp"
#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/exchange_log.hpp"
#include "balsampoint/edge/response_relay.hpp"
#include "balsampoint/edge/room_wait.hpp"
#include "balsampoint/edge/server_statements.hpp"
#include "balsampoint/edge/shared_actions.hpp"
#include "balsampoint/edge/traffic_state.hpp"
#include "balsampoint/exchange/action.hpp"
#include "balsampoint/exchange/event.hpp"
#include "balsampoint/exchange/state.hpp"
#include "balsampoint/reach/query/choose_detour.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace balsampoint::edge {

/**
 * @brief Runs the actions of one request that need no wait: what it reads,
 * sends, logs and counts.
 * @tparam D Encoding of requests and responses.
 * @tparam Caller Type of the caller's connection.
 */
template<Dialect D, typename Caller>
class ExchangeIo : private SharedActions
{
public:
  /**
   * @brief Takes over a request that has arrived.
   * @param aTraffic State of the traffic thread; outlives it.
   * @param aCaller The caller's connection.
   * @param aRequest The request.
   * @param aState State of the request; outlives it.
   */
  ExchangeIo(TrafficState& aTraffic,
             std::shared_ptr<Caller> aCaller,
             // NOLINTNEXTLINE(performance-unnecessary-value-param)
             IncomingRequest aRequest,
             const exchange::State& aState)
    : SharedActions{ aTraffic }
    , mTraffic{ aTraffic }
    , mState{ aState }
    , mAdmitted{ .request = std::move(aRequest),
                 .startedAt = TrafficState::Now() }
    , mRelay{ aTraffic,
              std::move(aCaller),
              mAdmitted.request.head,
              mAdmitted.startedAt }
    , mAttempt{ aTraffic }
  {
  }

  ExchangeIo(const ExchangeIo&) = delete;
  ExchangeIo& operator=(const ExchangeIo&) = delete;
  ExchangeIo(ExchangeIo&&) = delete;
  ExchangeIo& operator=(ExchangeIo&&) = delete;
  ~ExchangeIo() = default;

  /**
   * @brief Reads the request and admits it.
   * @return `Accepted` or `Rejected`.
   */
  [[nodiscard]] exchange::Event Admit()
  {
    auto admitted = mAdmitted.Admit(mTraffic);
    mRelay.StartStream(mAdmitted.parameters.resumeAfter);
    return admitted;
  }

  /** @brief Chooses servers; the result is `ServersChosen` or `NoServers`. */
  [[nodiscard]] exchange::Event Choose()
  {
    mAdmitted.crashWatch.Restart();
    const auto receivers = exchange::AllowedReceivers(mState);
    const auto& service = *mAdmitted.admission.service;
    auto chosen = mRoom.Choose(mTraffic,
                               service,
                               mAdmitted.parameters,
                               { mState.failed, receivers },
                               mState.progress.answerStarted);
    if (!chosen) {
      return exchange::NoServers{ .error = std::move(chosen.error()),
                                  .mayQueue = mRoom.Applies() };
    }
    mAttempt.Reserve(service, std::move(*chosen), mState.progress.kind);
    return exchange::ServersChosen{ .hops = mAttempt.Hops(),
                                    .isolated = reach::IsIsolated(
                                      mTraffic.reach, TrafficState::Now()) };
  }

  /** @brief Reads the head of a response; absent while it is incomplete. */
  [[nodiscard]] std::optional<exchange::Event> ReadAnswer() const
  {
    if (!Parser().HasHead()) {
      return std::nullopt;
    }
    return AnswerOf(mAttempt,
                    D::ReadResponse(Parser().Response()),
                    mAdmitted.request.head,
                    mAdmitted.parameters.id);
  }

  /** @brief Reads events of a stream. */
  [[nodiscard]] exchange::EventsRead ReadEvents()
  {
    const bool whole = mRelay.Read(Parser().TakeBody());
    const auto& events = mRelay.Events();
    return { .any = mRelay.HasPending(),
             .whole = whole,
             .complete = Parser().Complete(),
             .partial = events.HasPartialEvent(),
             .empty = !events.LastId() && events.SentCount() == 0 };
  }

  /** @brief Reads the body of a complete response. */
  [[nodiscard]] exchange::BodyRead ReadBody()
  {
    const auto& head = Parser().Response();
    mBody = Parser().TakeBody();
    const auto own =
      CheckBody<D>(head, mBody, mAttempt.Connection().UnreadBytes());
    mBody.resize(own.size);
    return { .verdict = own.verdict, .status = head.status };
  }

  using SharedActions::Run;
  void Run(const exchange::CountRequest& /*aCount*/)
  {
    mTraffic.budget.CountRequest(mAdmitted.admission.service->id,
                                 TrafficState::Now());
    mRoom.Begin(
      mTraffic, mAdmitted.admission, mAdmitted.parameters, mAdmitted.startedAt);
  }
  void Run(const exchange::LeaveQueue& aLeave)
  {
    if (!aLeave.keepsPlace) {
      mRoom.Leave();
    }
  }
  void Run(const exchange::SendRequest& aSend)
  {
    auto bytes = D::WriteRequest({ .head = mAdmitted.request.head,
                                   .body = mAdmitted.request.body,
                                   .remainingTime = aSend.remaining,
                                   .hops = mAttempt.Hops(),
                                   .workspace = mAdmitted.Workspace(),
                                   .priority = UrgencyOf(mAdmitted.admission),
                                   .resumeAfter = mRelay.Events().LastId() });
    mAttempt.Send({ .bytes = std::move(bytes),
                    .isHead = mAdmitted.request.head.method == "HEAD",
                    .hasBody = !mAdmitted.request.body.empty() });
  }
  void Run(const exchange::FollowStatements& /*aFollow*/)
  {
    FollowStatements(mTraffic,
                     mAdmitted.admission.service->id,
                     mAttempt.Hops().front(),
                     mAdmitted.parameters.id,
                     D::ReadResponse(Parser().Response()));
  }
  void Run(const exchange::RecordOutcome& aRecord)
  {
    mAttempt.RecordOutcome(aRecord.outcome, aRecord.address);
  }
  void Run(const exchange::RecordCompletion& /*aRecord*/)
  {
    mAdmitted.crashWatch.OnComplete(mTraffic);
  }
  void Run(const exchange::LogDiscarded& aLog)
  {
    mTraffic.metrics.Add(trace::Count::AnswersDiscarded);
    const auto metadata = D::ReadResponse(Parser().Response());
    LogDiscardedAnswer(mAdmitted.parameters.id,
                       aLog.reason,
                       OriginOf(mAttempt, metadata, mState.sentAt));
  }
  void Run(const exchange::SkipAnswer& /*aSkip*/)
  {
    if (Parser().Complete()) {
      mAttempt.Connection().SkipResponse();
    } else {
      // The response to this request begins after the end of this body.
      static_cast<void>(Parser().TakeBody());
    }
  }
  void Run(const exchange::BeginAnswer& /*aBegin*/)
  {
    mRelay.Begin(Parser().Response(), TrafficState::Now());
  }
  void Run(const exchange::SendEvents& /*aSend*/)
  {
    mAdmitted.crashWatch.OnEvents(mTraffic);
    const auto now = TrafficState::Now();
    mAttempt.RecordEvents(now - mRelay.LastEventAt(), now);
    mRelay.SendPending(now);
  }
  void Run(const exchange::EndStream& /*aEnd*/) { mRelay.EndStream(); }
  void Run(const exchange::KeepAnswer& /*aKeep*/)
  {
    mKeptHead = Parser().Response();
  }
  void Run(const exchange::ForwardAnswer& /*aForward*/)
  {
    mRelay.Forward(mAttempt.HasConnection() ? Parser().Response() : mKeptHead,
                   mBody);
  }
  void Run(const exchange::LogAttempt& aLog)
  {
    LogAttempt(LogFields(), aLog.end, aLog.reason, aLog.atFault);
  }
  void Run(const exchange::ReleaseServers& /*aRelease*/)
  {
    mAttempt.Release();
    mRelay.EndPart();
  }
  void Run(const exchange::SendRefusal& aRefusal)
  {
    auto error = aRefusal.error;
    if (aRefusal.addRetryAfter) {
      error.retryAfter = RetryAfter(mTraffic, mAdmitted.admission.service->id);
    }
    mTraffic.metrics.Add(trace::Outcome::Refused);
    mTraffic.metrics.Add(error.kind);
    mError = AnswerFor(error.kind).name;
    mRelay.Refuse(D::WriteRefusal(error, mRelay.KeepsAlive()));
    mDetail = std::move(error.detail);
  }
  void Run(const exchange::CutAnswer& /*aCut*/)
  {
    mTraffic.metrics.Add(trace::Outcome::Broken);
    mRelay.Cut();
  }
  void Run(const exchange::LogEnd& aLog)
  {
    mTraffic.metrics.Record(trace::Timing::Request,
                            TrafficState::Now() - mAdmitted.startedAt);
    LogEnd(LogFields(),
           aLog.outcome,
           mError,
           mDetail,
           mState.progress.answerStarted ? std::optional{ mRelay.Times() }
                                         : std::nullopt);
  }
  void Run(const exchange::Finish& /*aFinish*/)
  {
    mRoom.End();
    mRelay.Detach();
  }

  /** @brief Servers and connection of the attempt. */
  [[nodiscard]] Attempt& Servers() { return mAttempt; }

  /** @brief Its part in the admission under shortage. */
  [[nodiscard]] RoomWait& Room() { return mRoom; }

  /** @brief The request and what it was admitted to. */
  [[nodiscard]] AdmittedRequest<D>& Request() { return mAdmitted; }

private:
  [[nodiscard]] wire::Parser& Parser() const
  {
    return mAttempt.Connection().ResponseParser();
  }

  [[nodiscard]] RequestLogFields LogFields() const
  {
    return { .request = mAdmitted.parameters.id,
             .admission = mAdmitted.admission,
             .hops = mAttempt.Hops(),
             .fingerprint = mAdmitted.fingerprint,
             .sharedParts = mAdmitted.parameters.sharedParts,
             .sent = mState.progress.sent,
             .events = mRelay.Events().SentCount(),
             .age = TrafficState::Now() - mAdmitted.startedAt,
             .room = mRoom.LogFields() };
  }

  TrafficState& mTraffic;
  const exchange::State& mState;
  AdmittedRequest<D> mAdmitted;
  ResponseRelay<Caller> mRelay;
  RoomWait mRoom;
  Attempt mAttempt;
  /** Body of the response that was read last. */
  std::string mBody;
  wire::ResponseHead mKeptHead;
  std::string mError;
  std::string mDetail;
};

} // namespace balsampoint::edge
