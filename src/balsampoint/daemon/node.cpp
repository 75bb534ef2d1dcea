#include "balsampoint/daemon/node.hpp"

#include "balsampoint/core/hash.hpp"

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

retry::State
FirstRetryState(const config::Settings& aSettings)
{
  retry::State state;
  state.settings.zone = aSettings.zone;
  state.random = runtime::Entropy::Next();
  return state;
}

/**
 * Half of the requests in progress may run and most of the others wait; what
 * is left lets a newcomer in to take the place of who is over its share.
 */
limit::State
FirstLimitState(const config::Settings& aSettings)
{
  constexpr std::uint32_t kNewcomers = 16;
  constexpr std::uint32_t kWorkspaceParts = 8;
  const auto all = aSettings.limits.concurrentRequests;
  limit::State state;
  state.settings.slots = std::max(1U, all / 2);
  state.settings.queue = all - state.settings.slots -
                         std::min(all - state.settings.slots, all / kNewcomers);
  state.settings.workspaceQueue = std::max(1U, all / kWorkspaceParts);
  return state;
}

ledger::State
FirstLedgerState(const config::Settings& aSettings, Incarnation aIncarnation)
{
  std::vector<HostId> members;
  for (const auto& seed : aSettings.seeds) {
    members.push_back(seed.host);
  }
  auto state = ledger::Module::Start({ .self = aSettings.host,
                                       .incarnation = aIncarnation,
                                       .members = std::move(members) },
                                     ledger::Bounds{},
                                     runtime::SteadyClock::Now());
  if (!state) {
    throw Failure{ state.error() };
  }
  return std::move(*state);
}

member::State
FirstMemberState(const config::Settings& aSettings, Incarnation aIncarnation)
{
  member::Settings settings{ .self = { .id = aSettings.host,
                                       .zone = aSettings.zone,
                                       .region = aSettings.region,
                                       .address = aSettings.listen.peers.Text(),
                                       .incarnation = aIncarnation } };
  for (const auto& seed : aSettings.seeds) {
    settings.seeds.push_back(
      { .id = seed.host, .address = seed.address.Text() });
  }
  const auto seed =
    HashNumber(HashText(aSettings.host.Value()), aIncarnation.Value());
  return member::MakeState(std::move(settings), seed);
}

registry::State
FirstRegistryState(const config::Settings& aSettings, Incarnation aIncarnation)
{
  const auto seed =
    HashNumber(aIncarnation.Value(), HashText(aSettings.host.Value()));
  return { .settings = { .self = aSettings.host, .zone = aSettings.zone },
           .random = SplitMix64{ seed } };
}

Control::States
FirstStates(const config::Settings& aSettings, Incarnation aIncarnation)
{
  return { FirstMemberState(aSettings, aIncarnation),
           FirstRegistryState(aSettings, aIncarnation),
           FirstRetryState(aSettings),
           FirstLimitState(aSettings),
           FirstLedgerState(aSettings, aIncarnation) };
}

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

/** The wall clock, so that each start of a host has a higher number. */
peer::Identity
MakeIdentity(const config::Settings& aSettings)
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
  return { .cluster = aSettings.cluster,
           .host = aSettings.host,
           .incarnation =
             Incarnation{ static_cast<std::uint64_t>(milliseconds) },
           .secret = aSettings.secret };
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
  std::unique_ptr<Node> node{ new Node{ aSettings, MakeIdentity(aSettings) } };
  const auto listening = node->Listen();
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  return node;
}

Node::Node(const config::Settings& aSettings, const peer::Identity& aIdentity)
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
  , mRunners{ mMailbox, mWorld, mGate, mSender }
  , mLoop{ mMailbox, mRunners, FirstStates(aSettings, aIdentity.incarnation) }
  , mControlThread{ [this] { mLoop.Run(); } }
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

bool
Node::Drain()
{
  mWorld.draining = true;
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
  const auto unavailable = [] {
    return MakeError(ErrorKind::ControlUnavailable,
                     "the control group is not running");
  };
  return { .submit =
             [unavailable](const http::ChangeRequest&) {
               return tl::unexpected(http::ChangeRefusal{ unavailable() });
             },
           .changeMembers =
             [unavailable](const http::MemberChange&) {
               return tl::unexpected(unavailable());
             },
           .drain = [this] { mWorld.draining = true; } };
}

} // namespace balsampoint::daemon
