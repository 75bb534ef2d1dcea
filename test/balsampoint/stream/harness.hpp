#pragma once

#include "balsampoint/route/query/find_chain.hpp"
#include "balsampoint/stream/command/handle.hpp"
#include "balsampoint/stream/command/start.hpp"
#include "fake/clock.hpp"
#include "fake/engine.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsampoint::fake {

/** @brief What happens to one call instead of its regular reply. */
struct CallFault
{
  stream::Loss loss{};
  /** Whether the engine runs the call although no reply arrives. */
  bool runs{ false };
};

/**
 * @brief Drives one answer over engines in memory on virtual time, one action
 * after another as a traffic thread does.
 */
class Driver
{
public:
  /** @brief Decides the fate of a call; nothing lets it succeed. */
  std::function<std::optional<CallFault>(const stream::Target&,
                                         const stream::CallId&)>
    fault = [](const auto&, const auto&) { return std::nullopt; };
  /** @brief Called after each event that was handled. */
  std::function<void(Driver&)> disturb = [](Driver&) {};

  route::Graph graph;
  std::map<ServerId, Engine> engines;
  Clock clock;
  stream::State state;
  std::string text;
  std::vector<stream::Event> history;
  std::optional<Error> error;
  bool finished{ false };
  std::uint64_t steps{};

  /** @brief Adds a ready server that holds a range of layers. */
  void AddServer(const std::string& aName,
                 LayerRange aLayers,
                 const std::string& aZone = "zone-a")
  {
    graph.nodes.push_back({ .stage = { .server = ServerId{ aName },
                                       .incarnation = Incarnation{ 1 },
                                       .address = aName,
                                       .zone = ZoneId{ aZone },
                                       .layers = aLayers,
                                       .layerTokensPerSecond = 1000 } });
  }

  /** @brief Takes a server out of the view. */
  void RemoveServer(const std::string& aName)
  {
    std::erase_if(graph.nodes, [&aName](const route::Node& aNode) {
      return aNode.stage.server.Value() == aName;
    });
  }

  /** @brief Runs an answer to its end. */
  void Run(stream::StreamRequest aRequest,
           const stream::Settings& aSettings = {})
  {
    Apply([&](auto& aActions) {
      stream::Start(
        state, std::move(aRequest), aSettings, clock.Now(), aActions);
    });
    while (!mQueue.empty()) {
      const auto action = std::move(mQueue.front());
      mQueue.pop_front();
      std::visit([this](const auto& aAction) { Execute(aAction); }, action);
    }
  }

  /** @brief Hands an event to the answer. */
  void Deliver(const stream::Event& aEvent)
  {
    Apply([&](auto& aActions) {
      stream::Handle(state, aEvent, clock.Now(), aActions);
    });
  }

private:
  template<typename Command>
  void Apply(Command aCommand)
  {
    std::vector<stream::Action> actions;
    aCommand(actions);
    mQueue.insert(mQueue.end(), actions.begin(), actions.end());
  }

  void Report(stream::Event aEvent)
  {
    history.push_back(aEvent);
    Deliver(aEvent);
    disturb(*this);
  }

  template<typename Call, typename Work>
  void Execute(const stream::Target& aTarget, const Call& aCall, Work aWork)
  {
    const auto failure = fault(aTarget, aCall.id);
    if (!failure) {
      clock.Advance(std::chrono::milliseconds{ 1 });
      Report(aWork(engines[aTarget.server]));
      return;
    }
    if (failure->runs) {
      mLate.push_back(aWork(engines[aTarget.server]));
    }
    if (failure->loss == stream::Loss::DeadlinePassed) {
      clock.Advance(aTarget.deadline - clock.Now());
    }
    Report(stream::CallFailed{ .id = aCall.id, .loss = failure->loss });
  }

  static stream::Event Refused(const stream::CallId& aId)
  {
    return stream::CallFailed{ .id = aId, .loss = stream::Loss::Refused };
  }

  void Execute(const stream::CallStep& aAction)
  {
    ++steps;
    const auto& call = aAction.call;
    Execute(aAction.target, call, [&](Engine& aEngine) -> stream::Event {
      const auto reply = aEngine.Step(call);
      return reply ? stream::StepReplied{ *reply } : Refused(call.id);
    });
  }

  void Execute(const stream::CallReplay& aAction)
  {
    const auto& call = aAction.call;
    Execute(aAction.target, call, [&](Engine& aEngine) -> stream::Event {
      const auto reply = aEngine.Replay(call);
      return reply ? stream::ReplayReplied{ *reply } : Refused(call.id);
    });
  }

  void Execute(const stream::CallImport& aAction)
  {
    const auto& call = aAction.call;
    Execute(aAction.target, call, [&](Engine& aEngine) -> stream::Event {
      const auto& source = engines[ServerId{ call.source }];
      return aEngine.Import(call, source) ? stream::Imported{ call.id }
                                          : Refused(call.id);
    });
  }

  void Execute(const stream::ChooseRoute& aAction)
  {
    auto route = route::FindChain(
      graph,
      { .layers = aAction.layers, .excluded = aAction.excluded },
      [](const route::Node&) { return 1.0; },
      1.0);
    if (!route) {
      clock.Advance(aAction.until - clock.Now());
    }
    Report(stream::RouteChosen{ .layers = aAction.layers, .route = route });
  }

  void Execute(const stream::Emit& aAction) { text += aAction.text; }

  void Execute(const stream::Finish& /*aAction*/) { finished = true; }

  void Execute(const stream::Fail& aAction) { error = aAction.error; }

  void Execute(const stream::CancelAt& aAction)
  {
    engines[aAction.target.server].Cancel(aAction.request);
  }

  std::deque<stream::Action> mQueue;

public:
  /** @brief Replies of calls that were given up before they arrived. */
  std::vector<stream::Event>& Late() { return mLate; }

private:
  std::vector<stream::Event> mLate;
};

/** @brief A request over a model of 12 layers. */
inline stream::StreamRequest
DraftRequest(std::uint32_t aTokens)
{
  return { .id = RequestId{ "draft-1" },
           .pipeline = { .id = PipelineId{ "verse" },
                         .model = ModelId{ "verse-12" },
                         .version = "1",
                         .layers = 12,
                         .maxTokens = aTokens,
                         .activationBytes = 16384 },
           .prompt = "In memory of",
           .maxTokens = aTokens,
           .deadline = Instant{} + std::chrono::minutes{ 5 } };
}

} // namespace balsampoint::fake
