#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/stream/command/handle.hpp"
#include "balsampoint/stream/command/start.hpp"
#include "balsampoint/traffic/concepts.hpp"

#include <deque>
#include <utility>
#include <variant>
#include <vector>

namespace balsampoint::traffic {

/**
 * @brief Runs one answer on the calling thread from start to end.
 * @tparam Client Makes the calls to engines.
 * @tparam Chooser Chooses the servers.
 * @tparam Sink Takes the answer.
 * @tparam Clock Tells the time.
 * @tparam T Tokenizer of the pipeline's model.
 */
template<EngineClient Client,
         RouteChooser Chooser,
         AnswerSink Sink,
         ClockSource Clock,
         stream::Tokenizer T = stream::HashTokenizer>
class BasicStreamRun
{
public:
  /**
   * @brief Keeps what the run works with; all outlive the run.
   * @param aClient Makes the calls to engines.
   * @param aChooser Chooses the servers.
   * @param aSink Takes the answer.
   * @param aClock Tells the time.
   */
  BasicStreamRun(Client& aClient, Chooser& aChooser, Sink& aSink, Clock aClock)
    : mClient{ aClient }
    , mChooser{ aChooser }
    , mSink{ aSink }
    , mClock{ aClock }
  {
  }

  /**
   * @brief Runs the answer.
   * @param aRequest The request.
   * @param aSettings Limits and costs of its decisions.
   * @return What happened, for metrics.
   */
  stream::Counters Run(stream::StreamRequest aRequest,
                       const stream::Settings& aSettings)
  {
    const auto deadline = aRequest.deadline;
    std::vector<stream::Action> actions;
    stream::Start(
      mState, std::move(aRequest), aSettings, mClock.Now(), actions);
    Queue(actions);
    while (!mActions.empty()) {
      const auto action = std::move(mActions.front());
      mActions.pop_front();
      std::visit([this](const auto& aAction) { this->Do(aAction); }, action);
      Interrupt(deadline);
    }
    return mState.progress.counters;
  }

private:
  void Queue(std::vector<stream::Action>& aActions)
  {
    for (auto& action : aActions) {
      mActions.push_back(std::move(action));
    }
  }

  void Report(const stream::Event& aEvent)
  {
    std::vector<stream::Action> actions;
    stream::Handle(mState, aEvent, mClock.Now(), actions);
    Queue(actions);
  }

  /** Tells the state of a caller that left or a deadline that passed. */
  void Interrupt(Instant aDeadline)
  {
    if (mState.progress.phase == stream::Phase::Ended) {
      return;
    }
    if (mSink.CallerGone()) {
      mActions.clear();
      Report(stream::CallerGone{});
    } else if (mClock.Now() >= aDeadline) {
      mActions.clear();
      Report(stream::DeadlinePassed{});
    }
  }

  void Do(const stream::CallStep& aCall) { Report(mClient.Run(aCall)); }
  void Do(const stream::CallReplay& aCall) { Report(mClient.Run(aCall)); }
  void Do(const stream::CallImport& aCall) { Report(mClient.Run(aCall)); }
  void Do(const stream::ChooseRoute& aWanted)
  {
    Report(mChooser.Choose(aWanted));
  }
  void Do(const stream::Emit& aToken) { mSink.Emit(aToken); }
  void Do(const stream::Finish& aFinish) { mSink.Finish(aFinish); }
  void Do(const stream::Fail& aFail) { mSink.Fail(aFail.error); }
  void Do(const stream::CancelAt& aCancel) { mClient.Cancel(aCancel); }

  Client& mClient;
  Chooser& mChooser;
  Sink& mSink;
  Clock mClock;
  stream::BasicState<T> mState;
  std::deque<stream::Action> mActions;
};

} // namespace balsampoint::traffic
