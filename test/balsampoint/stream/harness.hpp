#pragma once

#include "balsampoint/route/query/find_chain.hpp"
#include "balsampoint/stream/command/handle.hpp"
#include "balsampoint/stream/command/start.hpp"
#include "fake/clock.hpp"
#include "fake/engine.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace balsampoint::fake {

/** @brief Fault injected into one call in place of its reply. */
struct CallFault
{
  stream::FailureKind kind{};
  /** Whether the engine runs the call although no reply arrives. */
  bool runs{ false };
  /** Whether it runs only after the next call that any engine runs. */
  bool runsLate{ false };
};

/**
 * @brief Runs one answer over in-memory engines in virtual time, one action
 * after another as a traffic thread does.
 */
class Driver
{
public:
  /** @brief Fault to inject into a call; absent lets the call succeed. */
  std::function<std::optional<CallFault>(const stream::Target&,
                                         const stream::CallId&)>
    fault = [](const auto&, const auto&) { return std::nullopt; };
  /** @brief Called when the wait for a server has timed out. */
  std::function<void(Driver&)> onWaitTimeout = [](Driver&) {};
  /** @brief Called after each event that was handled. */
  std::function<void(Driver&)> afterEvent = [](Driver&) {};

  /** @brief Virtual time of a call that succeeds. */
  Duration stepTime{ std::chrono::milliseconds{ 1 } };
  /** @brief Current incarnations of servers, also those not yet in the view. */
  std::map<ServerId, Incarnation> restarts;
  route::Graph graph;
  std::map<ServerId, Engine> engines;
  Clock clock;
  stream::State state;
  std::string text;
  std::vector<stream::Event> history;
  /** @brief Replies that arrive after their calls have failed. */
  std::vector<stream::Event> late;
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

  /** @brief Removes a server from the view. */
  void RemoveServer(const std::string& aName)
  {
    std::erase_if(graph.nodes, [&aName](const route::Node& aNode) {
      return aNode.stage.server.Value() == aName;
    });
  }

  /** @brief Restarts a server without its KV; the view is updated if `aSeen`.
   */
  void Restart(const ServerId& aServer, bool aSeen)
  {
    engines[aServer] = Engine{};
    auto& current = restarts.try_emplace(aServer, 1).first->second;
    const auto gone = current;
    current = current.Next();
    if (!aSeen) {
      return;
    }
    for (auto& node : graph.nodes) {
      if (node.stage.server == aServer) {
        node.stage.incarnation = current;
      }
    }
    Deliver(stream::ServerGone{ .server = aServer, .incarnation = gone });
  }

  /** @brief Runs an answer until no action is left. */
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

  /** @brief Delivers an event to the answer. */
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
    afterEvent(*this);
  }

  template<typename Call, typename Work>
  void Execute(const stream::Target& aTarget, const Call& aCall, Work aWork)
  {
    const auto failure = fault(aTarget, aCall.id);
    if (!failure) {
      clock.Advance(stepTime);
      auto event = aWork(engines[aTarget.server]);
      for (const auto& run : std::exchange(mLateRuns, {})) {
        run();
      }
      Report(std::move(event));
      return;
    }
    if (failure->runsLate) {
      mLateRuns.emplace_back(
        [this, aTarget, aCall] { Run(engines[aTarget.server], aCall); });
    }
    if (failure->runs) {
      late.push_back(aWork(engines[aTarget.server]));
    }
    if (failure->kind == stream::FailureKind::DeadlinePassed) {
      clock.Advance(aTarget.deadline - clock.Now());
    }
    Report(stream::CallFailed{ .id = aCall.id, .kind = failure->kind });
  }

  /** The target's incarnation; zero, as from an engine that doesn't report it,
   * if unknown. */
  Incarnation Restarted(const stream::Target& aTarget) const
  {
    const auto found = restarts.find(aTarget.server);
    return found == restarts.end() ? Incarnation{} : found->second;
  }

  static void Run(Engine& aEngine, const stream::StepCall& aCall)
  {
    (void)aEngine.Step(aCall);
  }

  static void Run(Engine& aEngine, const stream::ReplayCall& aCall)
  {
    (void)aEngine.Replay(aCall);
  }

  static void Run(Engine& /*aEngine*/, const stream::ImportCall& /*aCall*/) {}

  static stream::Event Refused(const stream::CallId& aId)
  {
    return stream::CallFailed{ .id = aId,
                               .kind = stream::FailureKind::Refused };
  }

  void Execute(const stream::CallStep& aAction)
  {
    ++steps;
    const auto& call = aAction.call;
    Execute(aAction.target, call, [&](Engine& aEngine) -> stream::Event {
      auto reply = aEngine.Step(call);
      reply.incarnation = Restarted(aAction.target);
      return stream::StepReplied{ reply };
    });
  }

  void Execute(const stream::CallReplay& aAction)
  {
    const auto& call = aAction.call;
    Execute(aAction.target, call, [&](Engine& aEngine) -> stream::Event {
      auto reply = aEngine.Replay(call);
      reply.incarnation = Restarted(aAction.target);
      return stream::ReplayReplied{ reply };
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
    const auto find = [&] {
      return route::FindChain(
        graph,
        { .layers = aAction.layers, .excluded = aAction.excluded },
        [&](const route::Node& aNode) {
          const auto& zones = aAction.avoidedZones;
          return std::ranges::count(zones, aNode.stage.zone) != 0 ? 1e6 : 1.0;
        },
        1.0);
    };
    auto route = find();
    if (!route && aAction.until > clock.Now()) {
      clock.Advance(aAction.until - clock.Now());
      onWaitTimeout(*this);
      route = find();
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
  std::vector<std::function<void()>> mLateRuns;
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
