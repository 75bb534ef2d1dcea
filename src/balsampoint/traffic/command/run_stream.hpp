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

  /** Hands an event over, after the servers that are gone by then. */
  void Report(const stream::Event& aEvent)
  {
    std::vector<stream::Action> actions;
    for (const auto& gone : mChooser.Gone(mState.progress.stages)) {
      stream::Handle(mState, gone, mClock.Now(), actions);
    }
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

  /** Makes a call; a reply that belongs to another call counts as refusal. */
  template<typename Action>
  void Call(const Action& aAction)
  {
    const auto& id = aAction.call.id;
    Report(mClient.Run(aAction));
    const auto& pending = mState.progress.pending;
    if (!pending || pending->id != id || !mActions.empty()) {
      return;
    }
    Report(
      stream::CallFailed{ .id = id,
                          .kind = stream::FailureKind::Refused,
                          .error = MakeError(ErrorKind::BackendFailed,
                                             "the reply is of another call") });
  }

  void Do(const stream::CallStep& aCall) { Call(aCall); }
  void Do(const stream::CallReplay& aCall) { Call(aCall); }
  void Do(const stream::CallImport& aCall) { Call(aCall); }
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
