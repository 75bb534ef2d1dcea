#pragma once

#include "balsampoint/config/gateway_settings.hpp"
#include "balsampoint/daemon/gateway_state.hpp"
#include "balsampoint/daemon/parcel_router.hpp"
#include "balsampoint/daemon/post.hpp"
#include "balsampoint/daemon/routing_query.hpp"
#include "balsampoint/daemon/runners.hpp"
#include "balsampoint/edge/control_port.hpp"
#include "balsampoint/edge/crash_watch.hpp"
#include "balsampoint/edge/detour_port.hpp"
#include "balsampoint/edge/engine_control_client.hpp"
#include "balsampoint/edge/entry.hpp"
#include "balsampoint/edge/room_wait.hpp"
#include "balsampoint/edge/server_prober.hpp"
#include "balsampoint/edge/status_port.hpp"
#include "balsampoint/fleet/command/follow_roster.hpp"
#include "balsampoint/fleet/command/set_remote_usage.hpp"
#include "balsampoint/fleet/query/make_local_usage.hpp"
#include "balsampoint/limit/query/append_demand.hpp"
#include "balsampoint/peer/receiver.hpp"
#include "balsampoint/peer/sender.hpp"
#include "balsampoint/quarantine/query/make_reports.hpp"
#include "balsampoint/reach/query/check_due.hpp"
#include "balsampoint/runtime/entropy.hpp"
#include "balsampoint/trace/event.hpp"
#include "balsampoint/trace/log.hpp"
#include "balsampoint/traffic/control_gate.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <thread>
#include <utility>
#include <variant>

namespace balsampoint::daemon {

/**
 * @brief A host that forwards requests to servers, receives the heartbeats of
 * servers, or both.
 * @tparam D Encoding of messages and of the configuration text.
 */
template<edge::Dialect D>
class BasicGateway
{
public:
  /**
   * @brief Starts a host.
   * @param aSettings The host's settings.
   * @return The running host, or why it can't start.
   */
  [[nodiscard]] static tl::expected<std::unique_ptr<BasicGateway>, Error> Start(
    const config::GatewaySettings& aSettings)
  {
    const auto control = ControlSettingsOf(aSettings);
    const auto identity = MakeIdentity(control);
    auto first =
      MakeFirstState(control, identity, TuningOf(aSettings, identity));
    if (!first) {
      return tl::unexpected(first.error());
    }
    std::unique_ptr<BasicGateway> gateway{ new BasicGateway{
      aSettings, control.seeds, identity, std::move(*first) } };
    if (auto listening = gateway->Listen(); !listening) {
      return tl::unexpected(listening.error());
    }
    return gateway;
  }

  BasicGateway(const BasicGateway&) = delete;
  BasicGateway& operator=(const BasicGateway&) = delete;
  BasicGateway(BasicGateway&&) = delete;
  BasicGateway& operator=(BasicGateway&&) = delete;

  /** @brief Stops at once; for a planned stop, call `Drain` before. */
  ~BasicGateway()
  {
    mReceiver.reset();
    mEdge.Stop();
    mMailbox.Close();
    mControlThread.join();
  }

  /** @brief Reports the host as not ready, hands over leadership, stops
   * accepting callers and waits for the requests in progress. */
  void Drain()
  {
    mEdge.Post([this] {
      mTraffic.draining = true;
      mControlPort.Drain();
    });
    if (mSettings.dataFolder) {
      mRunners.Consensus().HandOver(kHandOverWait);
    }
    if (!mSettings.listen.callers) {
      return;
    }
    mEdge.Post([this] { WaitUntilIdle(TrafficState::Now()); });
    std::unique_lock lock{ mStopMutex };
    mStopped.wait_for(
      lock, mSettings.stopTimeout - kStopMargin, [this] { return mIdle; });
  }

private:
  using TrafficState = edge::TrafficState;

  /** Time for the callers' load balancer to notice that the host isn't ready.
   */
  static constexpr Duration kBalancerWait = std::chrono::milliseconds{ 2600 };
  /** Time between two checks whether all requests have ended. */
  static constexpr Duration kIdleCheckInterval =
    std::chrono::milliseconds{ 50 };
  /** Time kept for the end of the process within the stop timeout. */
  static constexpr Duration kStopMargin = std::chrono::milliseconds{ 700 };
  /** Time limit for handing leadership over to another host. */
  static constexpr Duration kHandOverWait = std::chrono::milliseconds{ 1500 };
  /** Time between two reports of this host's use of servers. */
  static constexpr Duration kUsageInterval = std::chrono::milliseconds{ 200 };
  /** Time until a report of a crash, and the least time between two: a report
   * costs the control hosts as much as any other. */
  static constexpr Duration kUrgentReportDelay =
    std::chrono::milliseconds{ 10 };
  static constexpr Duration kUrgentReportInterval = std::chrono::seconds{ 1 };
  /** Time between two searches for server connections that have ended. */
  static constexpr Duration kForgetInterval = std::chrono::seconds{ 1 };
  static constexpr std::size_t kMailboxCapacity = 65536;

  BasicGateway(const config::GatewaySettings& aSettings,
               std::span<const config::Seed> aSeeds,
               const peer::Identity& aIdentity,
               FirstState aFirst)
    : mSettings{ aSettings }
    , mIdentity{ aIdentity }
    , mMailbox{ kMailboxCapacity }
    , mGate{ aIdentity.host,
             aIdentity.incarnation,
             [](const traffic::ControlGate::Request&) { return false; } }
    , mSender{ aIdentity }
    , mRouter{ mMailbox }
    , mMemory{ edge::MemoryAccount::Make(mEdge.Context(),
                                         MemorySettingsOf(aSettings),
                                         SocketBytesOf(aSettings)) }
    , mTraffic{ mEdge,
                { .zone = aSettings.zone },
                ServerLimitsOf(aSettings, mMemory.get()),
                AllowanceOf(aSettings),
                runtime::Entropy::Next() }
    , mProber{ mTraffic }
    , mDetours{ mTraffic,
                aSettings.secret,
                MaxDetourConnections(aSettings),
                mMemory.get() }
    , mEntry{ mTraffic,
              MaxCallers(aSettings),
              CallerLimitsOf(aSettings, mMemory.get()) }
    , mReady{ mEdge, [this] { return ReadyStatus(); }, mMemory.get() }
    , mMetrics{ mEdge, [this] { return MetricsStatus(); }, mMemory.get() }
    , mOperatorKeys{ config::KeyIndex::Make({}, aSettings.operatorKeys) }
    , mOperators{ mEdge,
                  [this](const wire::RequestHead& aHead) {
                    return AnswerRoutingQuery(mTraffic, mOperatorKeys, aHead);
                  },
                  mMemory.get() }
    , mEngines{ mEdge, ServerLimitsOf(aSettings, mMemory.get()) }
    , mControlPort{ mEdge,
                    MakeOperations(),
                    MaxControlConnections(aSettings),
                    ControlLimitsOf(aSettings, mMemory.get()) }
    , mRunners{ mMailbox,
                mWorld,
                mGate,
                mSender,
                [this](const fanout::Content& aContent) {
                  return Configure(aContent);
                } }
    , mLoop{ mMailbox, mRunners, std::move(aFirst.states) }
    , mForgetTimer{ mEdge.Context() }
    , mUsageTimer{ mEdge.Context() }
    , mIdleTimer{ mEdge.Context() }
  {
    mTraffic.maxActiveRequests =
      static_cast<std::uint32_t>(MaxCallers(aSettings));
    mMemory->SetObserver([this](const memory::Action& aAction) {
      mTraffic.metrics.Add(aAction.relief == memory::Relief::Refuse
                             ? trace::Count::MemoryRefusals
                             : trace::Count::MemoryCuts);
    });
    for (const auto& seed : aSeeds) {
      if (seed.host != mSettings.host) {
        mSender.Route(seed.host, seed.address.Text());
      }
    }
    Subscribe();
    ObserveGroup();
    if (aFirst.store) {
      mRunners.Consensus().UseDisk(std::move(*aFirst.store));
    }
    for (const auto& action : aFirst.actions) {
      mRunners.Run(action);
    }
    mControlThread = std::thread{ [this] { mLoop.Run(); } };
  }

  /** Passes on what the runners publish. */
  void Subscribe()
  {
    mRunners.Roster().PublishTo([this](auto aView) {
      const auto& topology = aView->topology;
      PostOrDrop(mMailbox,
                 usage::Event{ usage::TopologyChanged{
                   topology.collector, topology.peers, topology.upstream } });
      mEdge.Post([this, view = std::move(aView)] { SetServers(view); });
    });
    mRunners.Usage().TellTo([this](auto aOthers) {
      mEdge.Post([this, others = std::move(aOthers)] {
        mTraffic.links.SetDetours(others->detours);
        fleet::SetRemoteUsage(mTraffic.fleet, *others, TrafficState::Now());
        edge::FollowDemand(mTraffic, *others);
        mTraffic.budget.SetHostCount(others->hosts + 1);
        edge::MergeSuspects(mTraffic, others->suspects, others->hosts + 1);
      });
    });
    mRunners.Placement().CarryBy([this](const placement::Action& aAction) {
      std::visit(
        [this](const auto& aAlternative) { this->Execute(aAlternative); },
        aAction);
    });
  }

  void ObserveGroup()
  {
    mRunners.Consensus().ObserveLeader(
      [this](const HostId& aLeader, consensus::Term aTerm) {
        OnLeader(aLeader, aTerm);
      });
    mRunners.Consensus().ObserveMembers(
      [this](const consensus::Membership& aMembers) {
        for (const auto& member : MemberAddresses(mSettings, aMembers)) {
          mSender.RouteIfUnknown(member.host, member.address);
        }
      });
  }

  tl::expected<void, Error> Listen()
  {
    auto receiver = peer::Receiver::Listen(
      mSettings.listen.peers.Text(),
      mIdentity,
      [this](const auto& aParcel) { mRouter.Take(aParcel); },
      PeerBytesOf(mSettings));
    if (!receiver) {
      return tl::unexpected(receiver.error());
    }
    mReceiver = std::move(*receiver);
    const auto& listen = mSettings.listen;
    auto listening =
      ListenOn(mEntry, listen.callers)
        .and_then([&] { return ListenOn(mReady, listen.ready); })
        .and_then([&] { return ListenOn(mMetrics, listen.metrics); })
        .and_then([&] { return ListenOn(mOperators, listen.operators); })
        .and_then([&] { return ListenOn(mDetours, listen.detours); })
        .and_then([&] { return ListenOn(mControlPort, listen.control); });
    if (listening) {
      ForgetEndedConnections();
      if (listen.callers) {
        mTraffic.suspectsObserver = [this] { ReportUsageSoon(); };
        mTraffic.linkObserver = [this] { ReportUsageSoon(); };
        mTraffic.links.SetSecret(mSettings.secret);
        ReportUsage();
        mProber.Start();
        mTraffic.links.Start();
      }
      mEdge.Start();
    }
    return listening;
  }

  template<typename Port>
  static tl::expected<void, Error> ListenOn(
    Port& aPort,
    const std::optional<config::Address>& aAddress)
  {
    return aAddress ? aPort.Listen(aAddress->Text())
                    : tl::expected<void, Error>{};
  }

  void ForgetEndedConnections()
  {
    mTraffic.connections.ForgetEnded();
    mForgetTimer.Set(kForgetInterval, [this] { ForgetEndedConnections(); });
  }

  void ReportUsage()
  {
    auto use = fleet::MakeLocalUsage(mTraffic.fleet, TrafficState::Now());
    limit::AppendDemand(mTraffic.shortage, TrafficState::Now(), use.services);
    use.suspects =
      quarantine::MakeReports(mTraffic.quarantine, TrafficState::Now());
    const auto& detours = mSettings.listen.detours;
    if (detours && mDetours.IsAvailable()) {
      use.detour = detours->Text();
    }
    use.needsDetours = mTraffic.reach.link == reach::Link::Down;
    const bool queued =
      mMailbox.Push(usage::Event{ usage::Measured{ std::move(use) } });
    if (!queued) {
      spdlog::warn("the control queue is full");
    }
    mUsageTimer.Set(kUsageInterval, [this] { ReportUsage(); });
  }

  /** Reports without waiting for the next interval, with what else breaks at
   * the same time. */
  void ReportUsageSoon()
  {
    const auto now = TrafficState::Now();
    if (now - mReportedSoonAt < kUrgentReportInterval) {
      return;
    }
    mReportedSoonAt = now;
    mUsageTimer.Set(kUrgentReportDelay, [this] { ReportUsage(); });
  }

  edge::StatusPort::Status ReadyStatus() const
  {
    constexpr std::uint16_t kOk = 200;
    constexpr std::uint16_t kUnavailable = 503;
    const bool ready =
      mTraffic.routes && mTraffic.servers && !mTraffic.draining;
    return { ready ? kOk : kUnavailable, {} };
  }

  edge::StatusPort::Status MetricsStatus()
  {
    constexpr std::uint16_t kOk = 200;
    auto& metrics = mTraffic.metrics;
    if (mTraffic.routes) {
      metrics.Set(
        trace::Level::ChangeNumber,
        static_cast<double>(mTraffic.routes->Source().number.Value()));
    }
    if (mTraffic.servers) {
      metrics.Set(trace::Level::LiveServers,
                  static_cast<double>(mTraffic.servers->servers.size()));
    }
    metrics.Set(trace::Level::DetourConnections,
                static_cast<double>(mDetours.ConnectionCount()));
    metrics.Set(trace::Level::HeldBytes,
                static_cast<double>(mMemory->HeldBytes()));
    metrics.Set(trace::Level::PausedConnections,
                static_cast<double>(mMemory->PausedCount()));
    metrics.Set(trace::Level::DroppedLines,
                static_cast<double>(trace::DroppedLines()));
    return { kOk, metrics.Text() };
  }

  void SetServers(std::shared_ptr<const roster::View> aView)
  {
    mTraffic.servers = std::move(aView);
    mTraffic.serversAt = TrafficState::Now();
    FollowRoster();
  }

  void FollowRoster()
  {
    if (mTraffic.servers && mTraffic.routes) {
      fleet::FollowRoster(
        mTraffic.fleet, *mTraffic.servers, mTraffic.routes->Source());
    }
  }

  tl::expected<void, Error> Configure(const fanout::Content& aContent)
  {
    auto table = TextOf(*aContent.sections)
                   .and_then([](const std::string& aText) {
                     return D::ReadConfiguration(aText);
                   })
                   .and_then([](routing::Document aDocument) {
                     return routing::Table::Make(std::move(aDocument));
                   });
    if (!table) {
      return tl::unexpected(table.error());
    }
    placement::Configured configured;
    for (const auto& entry : (*table)->Source().services) {
      const auto& engine = entry.second.engine;
      if (engine) {
        configured.profiles.emplace(entry.first, *engine);
      }
    }
    Post(mMailbox, placement::Event{ std::move(configured) });
    if (mRunners.Roster().Latest()) {
      Post(mMailbox,
           placement::Event{
             placement::ServersChanged{ mRunners.Roster().Latest() } });
    }
    mEdge.Post([this, routes = std::move(*table)] { SetRoutes(routes); });
    return {};
  }

  void SetRoutes(std::shared_ptr<const routing::Table> aRoutes)
  {
    if (mTraffic.routes &&
        mTraffic.routes->Source().number >= aRoutes->Source().number) {
      return;
    }
    trace::Event{ "configuration_in_force" }
      .With("number", aRoutes->Source().number.Value())
      .With("routes", aRoutes->Source().routes.size());
    mTraffic.routes = std::move(aRoutes);
    mEntry.SetLimits(mTraffic.routes->Source().limits);
    edge::FollowUrgencies(mTraffic);
    FollowRoster();
  }

  void OnLeader(const HostId& aLeader, consensus::Term aTerm)
  {
    trace::Event{ "leader_changed" }
      .With("leader", aLeader)
      .With("term", aTerm.Value());
    {
      const std::lock_guard lock{ mLeaderMutex };
      mLeader = aLeader;
    }
    Post(mMailbox,
         placement::Event{
           placement::Leading{ .leading = aLeader == mSettings.host,
                               .fencing = FencingNumber{ aTerm.Value() } } });
  }

  edge::ControlOperations MakeOperations()
  {
    return {
      .submit =
        [this](const edge::SubmittedConfiguration& aSubmitted, auto aCallback) {
          Submit(aSubmitted, std::move(aCallback));
        },
      .read = [this](auto aCallback) { Read(std::move(aCallback)); },
      .heartbeat =
        [this](roster::Claim aClaim, RosterRunner::Answer aAnswered) {
          mRunners.Roster().RecordHeartbeat(std::move(aClaim),
                                            std::move(aAnswered));
        },
      .signOff =
        [this](ServerId aServer,
               std::optional<Incarnation> aIncarnation,
               RosterRunner::Answer aAnswered) {
          mRunners.Roster().RecordSignOff(
            { std::move(aServer), aIncarnation, {} }, std::move(aAnswered));
        }
    };
  }

  void Submit(const edge::SubmittedConfiguration& aSubmitted,
              std::function<void(tl::expected<void, Error>)> aCallback)
  {
    mRunners.Change().Submit(
      ChangeOf(aSubmitted.number, aSubmitted.text),
      [callback = std::move(aCallback)](ChangeRunner::Result aResult) {
        callback(aResult ? tl::expected<void, Error>{}
                         : tl::unexpected(aResult.error()));
      });
  }

  /** Reads the configuration only after a quorum has confirmed this host as
   * the leader, so that no newer configuration is missed. */
  void Read(std::function<void(edge::ReadResult)> aCallback)
  {
    mRunners.Consensus().ConfirmLeader(
      [this, callback = std::move(aCallback)](
        const tl::expected<void, Error>& aConfirmed) {
        if (!aConfirmed) {
          callback(edge::Redirect{ LeaderAddress() });
          return;
        }
        mRunners.Change().Read([callback](const fanout::Content& aContent) {
          auto text = TextOf(*aContent.sections);
          if (!text) {
            spdlog::error("configuration {} can't be read: {}",
                          aContent.number.Value(),
                          text.error().detail);
            callback(edge::Redirect{});
            return;
          }
          callback(std::move(*text));
        });
      });
  }

  std::string LeaderAddress()
  {
    const std::lock_guard lock{ mLeaderMutex };
    if (mLeader.Empty() || mLeader == mSettings.host ||
        !mSettings.listen.control) {
      return {};
    }
    return config::Address{ mLeader.String(), mSettings.listen.control->port }
      .Text();
  }

  void Execute(const placement::SendOrder& aOrder)
  {
    trace::Event{ "layers_ordered" }
      .With("server", aOrder.server)
      .With("first", aOrder.layers.begin)
      .With("end", aOrder.layers.end)
      .With("fencing", aOrder.fencing.Value());
    auto request = D::WriteLayerOrder({ .layers = aOrder.layers,
                                        .expectedOrders = aOrder.expectedOrders,
                                        .fencing = aOrder.fencing },
                                      aOrder.server.Value());
    mEngines.Call(aOrder.address,
                  std::move(request),
                  aOrder.timeout,
                  [this,
                   server = aOrder.server,
                   incarnation = aOrder.incarnation](const auto& aResponse) {
                    auto outcome = placement::OrderOutcome::Unknown;
                    if (aResponse) {
                      outcome = D::Accepted(aResponse->status)
                                  ? placement::OrderOutcome::Accepted
                                  : placement::OrderOutcome::Refused;
                    }
                    trace::Event{ "layers_order_ended" }
                      .With("server", server)
                      .With("status", aResponse ? aResponse->status : 0);
                    Post(mMailbox,
                         placement::Event{ placement::OrderEnded{
                           server, incarnation, outcome } });
                  });
  }

  void Execute(const placement::RequestReport& aRequest)
  {
    mEngines.Call(
      aRequest.address,
      D::WriteReportRequest(aRequest.server.Value()),
      kReportTimeout,
      [this, server = aRequest.server, incarnation = aRequest.incarnation](
        const auto& aResponse) {
        const auto report = aResponse
                              ? D::ReadReport(aResponse->body)
                              : Refuse(ErrorKind::BackendFailed, "no answer");
        if (!report) {
          trace::Event{ "report_missing" }
            .With("server", server)
            .With("reason", report.error().detail);
          return;
        }
        Post(
          mMailbox,
          placement::Event{ placement::Reported{ .server = server,
                                                 .incarnation = incarnation,
                                                 .orders = report->orders,
                                                 .busy = report->busy,
                                                 .layers = report->layers } });
      });
  }

  /** Stops accepting callers once their load balancer has had time to react,
   * and notifies `mStopped` when no request is in progress. Checks on a timer
   * of the traffic thread, which must not block. */
  void WaitUntilIdle(Instant aSince)
  {
    const bool noticed = TrafficState::Now() - aSince >= kBalancerWait;
    if (noticed) {
      mEntry.Connections().StopAccepting();
      mEntry.Connections().CloseIdle();
      mDetours.Drain();
    }
    if (noticed && mTraffic.activeRequests == 0 &&
        mDetours.ConnectionCount() == 0) {
      const std::lock_guard lock{ mStopMutex };
      mIdle = true;
      mStopped.notify_all();
      return;
    }
    mIdleTimer.Set(kIdleCheckInterval,
                   [this, aSince] { WaitUntilIdle(aSince); });
  }

  static constexpr Duration kReportTimeout = std::chrono::milliseconds{ 500 };

  config::GatewaySettings mSettings;
  peer::Identity mIdentity;
  traffic::World mWorld;
  ControlMailbox mMailbox;
  traffic::ControlGate mGate;
  peer::Sender mSender;
  ParcelRouter mRouter;
  net::Loop mEdge;
  std::shared_ptr<edge::MemoryAccount> mMemory;
  TrafficState mTraffic;
  edge::ServerProber mProber;
  edge::DetourPort mDetours;
  edge::BasicEntry<D> mEntry;
  edge::StatusPort mReady;
  edge::StatusPort mMetrics;
  config::KeyIndex mOperatorKeys;
  edge::OperatorPort mOperators;
  edge::EngineControlClient mEngines;
  edge::BasicControlPort<D> mControlPort;
  Runners mRunners;
  Control::Loop<Runners> mLoop;
  net::Timer mForgetTimer;
  net::Timer mUsageTimer;
  net::Timer mIdleTimer;
  std::thread mControlThread;
  std::unique_ptr<peer::Receiver> mReceiver;
  std::mutex mLeaderMutex;
  HostId mLeader;
  std::mutex mStopMutex;
  std::condition_variable mStopped;
  bool mIdle{ false };
  /** When the use of servers was last reported because of a crash. */
  Instant mReportedSoonAt{};
};

} // namespace balsampoint::daemon
