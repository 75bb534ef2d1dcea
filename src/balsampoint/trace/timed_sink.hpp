#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/stream/action.hpp"
#include "balsampoint/trace/metrics.hpp"

#include <optional>

namespace balsampoint::trace {

/**
 * @brief Passes an answer on and records its times and its outcome.
 * @tparam Sink Takes the answer.
 * @tparam Clock Tells the time.
 */
template<typename Sink, ClockSource Clock>
class BasicTimedSink
{
public:
  /**
   * @brief Starts the clock of an answer; all arguments outlive the sink.
   * @param aSink Takes the answer.
   * @param aMetrics Receives the figures.
   * @param aClock Tells the time.
   */
  BasicTimedSink(Sink& aSink, Metrics& aMetrics, Clock aClock)
    : mSink{ aSink }
    , mMetrics{ aMetrics }
    , mClock{ aClock }
    , mStart{ mClock.Now() }
  {
  }

  /**
   * @brief Passes one token on.
   * @param aToken The token.
   */
  void Emit(const stream::Emit& aToken)
  {
    mSink.Emit(aToken);
    const auto now = mClock.Now();
    if (mLastToken) {
      mMetrics.Record(Timing::BetweenTokens, now - *mLastToken);
    } else {
      mMetrics.Record(Timing::FirstToken, now - mStart);
    }
    mLastToken = now;
    mMetrics.Add(Count::Tokens);
  }

  /**
   * @brief Ends a complete answer.
   * @param aFinish Why it is complete.
   */
  void Finish(const stream::Finish& aFinish)
  {
    mSink.Finish(aFinish);
    End(Outcome::Complete);
  }

  /**
   * @brief Ends an answer that can't be completed.
   * @param aError Why.
   */
  void Fail(const Error& aError)
  {
    mSink.Fail(aError);
    mMetrics.Add(aError.kind);
    mError = aError.kind;
    if (aError.kind == ErrorKind::Cancelled) {
      End(Outcome::CallerGone);
    } else {
      End(mLastToken ? Outcome::Broken : Outcome::Refused);
    }
  }

  /** @brief Whether the caller closed its connection. */
  [[nodiscard]] bool CallerGone() { return mSink.CallerGone(); }

  /** @brief Why the answer failed, if it did. */
  [[nodiscard]] std::optional<ErrorKind> Failed() const { return mError; }

private:
  void End(Outcome aOutcome)
  {
    mMetrics.Add(aOutcome);
    mMetrics.Record(Timing::Request, mClock.Now() - mStart);
  }

  Sink& mSink;
  Metrics& mMetrics;
  Clock mClock;
  Instant mStart;
  std::optional<Instant> mLastToken;
  std::optional<ErrorKind> mError;
};

} // namespace balsampoint::trace
