#include "balsampoint/daemon/node.hpp"

#include "balsampoint/config/query/document_text.hpp"
#include "balsampoint/config/query/sections.hpp"
#include "balsampoint/daemon/operations.hpp"
#include "balsampoint/runtime/entropy.hpp"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <spdlog/spdlog.h>
#include <utility>

namespace balsampoint::daemon {

namespace {

constexpr std::size_t kMailboxCapacity = 65536;
/** Threads beyond the requests in progress: for refusals and health. */
constexpr int kSpareThreads = 64;
constexpr Duration kHandOverWait = std::chrono::seconds{ 3 };

std::map<WorkspaceId, limit::WorkspaceRule>
WorkspaceRules(const config::Document& aDocument)
{
  std::map<WorkspaceId, limit::WorkspaceRule> rules;
  for (const auto& [id, workspace] : aDocument.workspaces) {
    rules[id] = { .weight = workspace.weight,
                  .priority = workspace.priority,
                  .requestsPerSecond = workspace.limits.requestsPerSecond,
                  .concurrentRequests = workspace.limits.concurrentRequests };
  }
  return rules;
}

std::map<ModelId, std::uint32_t>
ModelLayers(const config::Document& aDocument)
{
  std::map<ModelId, std::uint32_t> layers;
  for (const auto& [id, pipeline] : aDocument.pipelines) {
    layers[pipeline.model] = pipeline.layers;
  }
  return layers;
}

} // namespace

tl::expected<std::unique_ptr<Node>, Error>
Node::Start(const config::Settings& aSettings)
{
  const auto identity = MakeIdentity(aSettings);
  auto first = MakeFirstState(aSettings, identity);
  if (!first) {
    return tl::unexpected(first.error());
  }
  std::unique_ptr<Node> node{ new Node{
    aSettings, identity, std::move(*first) } };
  const auto listening = node->Listen();
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  return node;
}

Node::Node(const config::Settings& aSettings,
           const peer::Identity& aIdentity,
           FirstState aFirst)
  : mSettings{ aSettings }
  , mIdentity{ aIdentity }
  , mMailbox{ kMailboxCapacity }
  , mGate{ aIdentity.host,
           aIdentity.incarnation,
           [this](const traffic::ControlGate::Request& aRequest) {
             return std::visit(
               [this](const auto& aEvent) { return mMailbox.Push(aEvent); },
               aRequest);
           } }
  , mSender{ aIdentity }
  , mRouter{ mMailbox }
  , mRunners{ mMailbox,
              mWorld,
              mGate,
              mSender,
              [this](const fanout::Content& aContent) {
                return ReadAndConfigure(aContent);
              } }
  , mLoop{ mMailbox, mRunners, std::move(aFirst.states) }
  , mCallerHandler{ { .world = mWorld,
                      .backends = mBackends,
                      .gate = mGate,
                      .telemetry = mTelemetry,
                      .maxBodyBytes = aSettings.limits.bodyBytes },
                    aSettings.limits.concurrentRequests }
  , mServerHandler{ [this](registry::Announcement aAnnouncement) {
    return mRunners.Registry().Announce(std::move(aAnnouncement));
  } }
  , mOperatorHandler{ mWorld,
                      MakeOperations(),
                      config::KeyIndex::Make({}, aSettings.operatorKeys) }
{
  if (const auto& trace = mSettings.trace; !trace.file.empty()) {
    mTelemetry.exporter.emplace(
      mSettings.host, trace::FileSink{ trace.file }, trace.queue);
  }
  mWorld.zone = mSettings.zone;
  mPlanner = std::make_unique<traffic::RoutePlanner>(mWorld);
  for (const auto& seed : mSettings.seeds) {
    if (seed.host != mSettings.host) {
      mSender.Route(seed.host, seed.address.Text());
    }
  }
  mRunners.Fanout().FindStandbyHosts();
  if (aFirst.store) {
    mRunners.Consensus().UseDisk(std::move(*aFirst.store));
  }
  for (const auto& action : aFirst.actions) {
    mRunners.Run(action);
  }
  mControlThread = std::thread{ [this] { mLoop.Run(); } };
}

Node::~Node()
{
  mReceiver.reset();
  mCallers.reset();
  mOperators.reset();
  mServers.reset();
  mPlanner.reset();
  mMailbox.Close();
  mControlThread.join();
}

void
Node::Configure(config::Document aDocument)
{
  const bool posted =
    mMailbox.Push(registry::Event{
      registry::Configured{ .modelLayers = ModelLayers(aDocument) } }) &&
    mMailbox.Push(limit::Event{
      limit::Configured{ .workspaces = WorkspaceRules(aDocument) } });
  if (!posted) {
    spdlog::error("the control queue is full");
  }
  auto keys = config::KeyIndex::Make(aDocument, mSettings.operatorKeys);
  mWorld.configuration.Publish(std::make_shared<const traffic::Configuration>(
    traffic::Configuration{ std::move(aDocument), std::move(keys) }));
  mWorld.changed.Notify();
}

tl::expected<void, Error>
Node::ReadAndConfigure(const fanout::Content& aContent)
{
  auto document = config::Parse(config::JoinSections(*aContent.sections));
  if (!document) {
    return Refuse(ErrorKind::InvalidConfiguration,
                  config::ToString(document.error().front()));
  }
  document->number = aContent.number;
  Configure(std::move(*document));
  return {};
}

bool
Node::Drain()
{
  mWorld.draining = true;
  if (mSettings.dataFolder) {
    mRunners.Consensus().HandOver(kHandOverWait);
  }
  std::mutex mutex;
  std::condition_variable never;
  std::unique_lock lock{ mutex };
  never.wait_for(lock, mSettings.shutdownDelay, [] { return false; });
  const bool finished =
    mWorld.activity.WaitUntilIdle(mSettings.shutdownTimeout);
  if (!mMailbox.Push(member::Event{ member::Leave{} })) {
    spdlog::error("the control queue is full");
  }
  return finished;
}

tl::expected<void, Error>
Node::Listen()
{
  auto receiver = peer::Receiver::Listen(
    mSettings.listen.peers.Text(), mIdentity, [this](const auto& aParcel) {
      mRouter.Take(aParcel);
    });
  if (!receiver) {
    return tl::unexpected(receiver.error());
  }
  mReceiver = std::move(*receiver);
  const auto& limits = mSettings.limits;
  const http::ListenerLimits callerLimits{
    .maxThreads = static_cast<int>(limits.concurrentRequests) + kSpareThreads,
    .idleTimeout = limits.idleTimeout
  };
  auto callers = CallerListener::Listen(
    mSettings.listen.callers.Text(), mCallerHandler, callerLimits);
  if (!callers) {
    return tl::unexpected(callers.error());
  }
  mCallers = std::move(*callers);
  auto servers =
    ServerListener::Listen(mSettings.listen.servers.Text(), mServerHandler, {});
  if (!servers) {
    return tl::unexpected(servers.error());
  }
  mServers = std::move(*servers);
  auto operators = OperatorListener::Listen(
    mSettings.listen.operators.Text(), mOperatorHandler, {});
  if (!operators) {
    return tl::unexpected(operators.error());
  }
  mOperators = std::move(*operators);
  return {};
}

http::Operations
Node::MakeOperations()
{
  return { .submit =
             [this](const http::ChangeRequest& aRequest) {
               return SubmitChange(mRunners, aRequest);
             },
           .changeMembers =
             [this](const http::MemberChange& aChange) {
               return ChangeMembers(mRunners, mWorld, aChange);
             },
           .drain = [this] { mWorld.draining = true; },
           .hosts = [this] { return ReportedHosts(mRunners); } };
}

} // namespace balsampoint::daemon
