#pragma once

#include "balsampoint/edge/event_relay.hpp"
#include "balsampoint/edge/exchange_log.hpp"
#include "balsampoint/edge/response.hpp"
#include "balsampoint/edge/traffic_state.hpp"
#include "balsampoint/wire/write.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace balsampoint::edge {

/**
 * @brief The response to one caller, over all attempts, with its times.
 * @tparam Caller Type of the caller's connection.
 */
template<typename Caller>
class ResponseRelay
{
public:
  /**
   * @brief Makes a relay that has sent nothing.
   * @param aTraffic State of the traffic thread; outlives the relay.
   * @param aCaller The caller's connection.
   * @param aRequest Head of the request; outlives the relay.
   * @param aStartedAt When the request arrived.
   */
  ResponseRelay(TrafficState& aTraffic,
                std::shared_ptr<Caller> aCaller,
                const wire::RequestHead& aRequest,
                Instant aStartedAt)
    : mTraffic{ aTraffic }
    , mCaller{ std::move(aCaller) }
    , mRequest{ aRequest }
    , mStartedAt{ aStartedAt }
  {
  }

  /**
   * @brief Prepares for a stream.
   * @param aAfter Id of the last event that the caller has received; absent for
   * a new stream.
   */
  void StartStream(std::optional<std::uint64_t> aAfter)
  {
    mEvents = EventRelay{ mRequest.acceptsChunked, aAfter };
  }

  /** @brief The events of the stream so far. */
  [[nodiscard]] const EventRelay& Events() const { return mEvents; }

  /**
   * @brief Reads a part of a server's stream.
   * @param aBytes The part.
   * @return Whether no event is missing or of another answer.
   */
  [[nodiscard]] bool Read(std::string_view aBytes)
  {
    mPending.clear();
    return mEvents.Append(aBytes, mPending);
  }

  /** @brief Whether events were read that the caller has not received. */
  [[nodiscard]] bool HasPending() const { return !mPending.empty(); }

  /** @brief Discards the rest of a server's part of the stream. */
  void EndPart() { mEvents.EndPart(); }

  /**
   * @brief Sends the head of a stream.
   * @param aHead Response head of the server.
   * @param aNow Current time.
   */
  void Begin(const wire::ResponseHead& aHead, Instant aNow)
  {
    mFirstEventAt = aNow;
    mTraffic.metrics.Record(trace::Timing::FirstToken, aNow - mStartedAt);
    mLastEventAt = aNow;
    const bool chunked = mRequest.acceptsChunked;
    mCaller->Send(
      MakeResponseHead(aHead,
                       chunked ? BodyFraming::Chunked : BodyFraming::UntilClose,
                       0,
                       chunked && KeepsAlive()));
  }

  /** @brief When the caller last received events. */
  [[nodiscard]] Instant LastEventAt() const { return mLastEventAt; }

  /**
   * @brief Sends the events that were read.
   * @param aNow Current time.
   */
  void SendPending(Instant aNow)
  {
    const auto pause = aNow - mLastEventAt;
    mTraffic.metrics.Record(trace::Timing::BetweenTokens, pause);
    mLongestPause = std::max(mLongestPause, pause);
    mLastEventAt = aNow;
    mCaller->Send(mPending);
  }

  /** @brief Ends a stream that is complete. */
  void EndStream()
  {
    if (mRequest.acceptsChunked) {
      mCaller->Send(wire::kLastChunk);
    }
    mTraffic.metrics.Add(trace::Outcome::Complete);
    Finish(mRequest.acceptsChunked && KeepsAlive());
  }

  /**
   * @brief Sends a whole response of a server.
   * @param aHead Its head.
   * @param aBody Its body.
   */
  void Forward(const wire::ResponseHead& aHead, const std::string& aBody)
  {
    auto bytes = MakeResponseHead(
      aHead, BodyFraming::ContentLength, aBody.size(), KeepsAlive());
    if (mRequest.method != "HEAD") {
      bytes += aBody;
    }
    mCaller->Send(bytes);
    mTraffic.metrics.Add(trace::Outcome::Complete);
    Finish(KeepsAlive());
  }

  /**
   * @brief Sends a refusal.
   * @param aBytes The whole response.
   */
  void Refuse(std::string_view aBytes)
  {
    mCaller->Send(aBytes);
    Finish(KeepsAlive());
  }

  /** @brief Resets the caller's connection, so that the answer is seen to be
   * incomplete. */
  void Cut()
  {
    if (const auto caller = std::exchange(mCaller, nullptr)) {
      caller->Close(true);
    }
  }

  /** @brief Lets go of the caller's connection. */
  void Detach() { mCaller = nullptr; }

  /** @brief Whether the caller's connection stays open after the response. */
  [[nodiscard]] bool KeepsAlive() const
  {
    return mRequest.keepAlive && !mTraffic.draining;
  }

  /** @brief Times of the stream, once it has begun. */
  [[nodiscard]] ResponseTimes Times() const
  {
    return { mFirstEventAt - mStartedAt, mLongestPause };
  }

private:
  void Finish(bool aKeepAlive)
  {
    if (const auto caller = std::exchange(mCaller, nullptr)) {
      caller->Finish(aKeepAlive);
    }
  }

  TrafficState& mTraffic;
  std::shared_ptr<Caller> mCaller;
  const wire::RequestHead& mRequest;
  Instant mStartedAt;
  EventRelay mEvents{ false, {} };
  /** Events that were read and not sent. */
  std::string mPending;
  Instant mFirstEventAt{};
  Instant mLastEventAt{};
  Duration mLongestPause{};
};

} // namespace balsampoint::edge
