#pragma once

#include "balsampoint/route/query/max_flow.hpp"
#include "balsampoint/route/router.hpp"
#include "balsampoint/route/table.hpp"
#include "fake/random.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace balsampoint::bench {

/** @brief Servers, links and hosts of one size. */
struct Cluster
{
  std::string name;
  config::Pipeline pipeline;
  std::vector<registry::Server> servers;
  std::vector<route::Link> links;
  std::vector<ZoneId> zones;
  std::uint32_t hostsPerZone{};
  std::uint32_t meanTokens{};

  [[nodiscard]] route::Routes Routes() const
  {
    route::Routes routes{ .graph = route::Graph::Make(pipeline, servers, links),
                          .flowNumber = 1 };
    routes.flow =
      route::MaxFlow(routes.graph, route::EqualShares(routes.graph));
    return routes;
  }
};

/** @brief An accelerator kind with its speed and room. */
struct Accelerator
{
  const char* name;
  double layerTokensPerSecond;
  std::uint32_t layers;
};

/** @brief What the servers of a cluster are built from. */
struct ClusterPlan
{
  std::string name;
  std::uint32_t layers{};
  std::uint64_t activationBytes{};
  std::vector<Accelerator> kinds;
  std::uint32_t servers{};
  std::uint32_t zones{};
  /** Zones that share fast links. */
  std::uint32_t zonesPerRegion{};
  double bytesPerSecond{};
  double farBytesPerSecond{};
  std::uint32_t hostsPerZone{};
  std::uint32_t meanTokens{};
};

inline void
AddServers(Cluster& aCluster, const ClusterPlan& aPlan)
{
  std::vector<std::uint32_t> next(aPlan.zones);
  for (std::uint32_t at = 0; at < aPlan.servers; ++at) {
    const auto zone = at % aPlan.zones;
    const auto& kind =
      aPlan.kinds[(at / aPlan.zones + zone) % aPlan.kinds.size()];
    const auto begin = next[zone];
    const auto end = std::min(aPlan.layers, begin + kind.layers);
    next[zone] = end == aPlan.layers ? 0 : end;
    registry::Announcement announcement{
      .server = ServerId{ "engine-" + std::to_string(10000 + at) },
      .incarnation = Incarnation{ 1 },
      .address = "127.0.0.1:" + std::to_string(10000 + at),
      .zone = aCluster.zones[zone],
      .acceleratorKind = kind.name,
      .layerTokensPerSecond = kind.layerTokensPerSecond
    };
    announcement.holdings.push_back({ .model = aCluster.pipeline.model,
                                      .version = aCluster.pipeline.version,
                                      .layers = { begin, end },
                                      .modelLayers = aPlan.layers });
    aCluster.servers.push_back({ .announcement = announcement });
  }
}

/** @brief Builds a cluster with its servers dealt out over zones and layers. */
inline Cluster
Build(const ClusterPlan& aPlan)
{
  Cluster cluster{ .name = aPlan.name,
                   .pipeline = { .id = PipelineId{ "draft" },
                                 .model = ModelId{ "draft" },
                                 .version = "1",
                                 .layers = aPlan.layers,
                                 .activationBytes = aPlan.activationBytes },
                   .hostsPerZone = aPlan.hostsPerZone,
                   .meanTokens = aPlan.meanTokens };
  for (std::uint32_t zone = 0; zone < aPlan.zones; ++zone) {
    cluster.zones.emplace_back("zone-" + std::to_string(zone));
  }
  AddServers(cluster, aPlan);
  for (std::uint32_t one = 0; one < aPlan.zones; ++one) {
    for (std::uint32_t other = one + 1; other < aPlan.zones; ++other) {
      const bool near =
        one / aPlan.zonesPerRegion == other / aPlan.zonesPerRegion;
      cluster.links.push_back(
        { .one = cluster.zones[one],
          .other = cluster.zones[other],
          .bytesPerSecond =
            near ? aPlan.bytesPerSecond : aPlan.farBytesPerSecond,
          .delay = std::chrono::microseconds{ near ? 300 : 20000 } });
    }
  }
  return cluster;
}

inline const std::vector<Accelerator> kFiveKinds{ { "k1", 4000, 8 },
                                                  { "k2", 8000, 12 },
                                                  { "k3", 12000, 16 },
                                                  { "k4", 24000, 24 },
                                                  { "k5", 40000, 32 } };

inline const std::vector<Accelerator> kEightKinds{
  { "k1", 4000, 6 },   { "k2", 6000, 10 },  { "k3", 9000, 14 },
  { "k4", 12000, 20 }, { "k5", 16000, 24 }, { "k6", 24000, 32 },
  { "k7", 40000, 40 }, { "k8", 60000, 48 }
};

inline Cluster
Ruhunu()
{
  return Build({ .name = "ruhunu, 40 engines, 3 zones",
                 .layers = 48,
                 .activationBytes = 16384,
                 .kinds = kFiveKinds,
                 .servers = 40,
                 .zones = 3,
                 .zonesPerRegion = 3,
                 .bytesPerSecond = 40e6,
                 .hostsPerZone = 3,
                 .meanTokens = 120 });
}

inline Cluster
Sibiu()
{
  return Build(
    { .name = "sibiu, 40 engines, 3 zones",
      .layers = 32,
      .activationBytes = 8192,
      .kinds = { { "k1", 3000, 6 }, { "k2", 9000, 10 }, { "k3", 30000, 16 } },
      .servers = 40,
      .zones = 3,
      .zonesPerRegion = 3,
      .bytesPerSecond = 15e6,
      .hostsPerZone = 2,
      .meanTokens = 90 });
}

inline Cluster
Large(std::uint32_t aServers)
{
  return Build({ .name = std::to_string(aServers) + " servers, 14 zones",
                 .layers = 80,
                 .activationBytes = 16384,
                 .kinds = kEightKinds,
                 .servers = aServers,
                 .zones = 14,
                 .zonesPerRegion = 4,
                 .bytesPerSecond = 400e6,
                 .farBytesPerSecond = 4e6,
                 .hostsPerZone = 29,
                 .meanTokens = 204 });
}

/** @brief Tokens that came out, by entry zone. */
struct Output
{
  double tokensPerSecond{};
  std::vector<route::EntryShare> shares;
};

/**
 * @brief A queue model of a cluster on virtual time.
 *
 * Each server serves steps one after another in the time that its speed
 * gives; each link sends activations one after another in each direction. A
 * constant number of answers is in progress. Loads are reported at an interval
 * and seen late.
 * @tparam Policy Chooses the chains, on each host on its own.
 */
template<typename Policy>
class Simulation
{
public:
  Simulation(const Cluster& aCluster, const route::Routes& aRoutes)
    : mCluster{ aCluster }
    , mRoutes{ aRoutes }
    , mServers(aRoutes.graph.nodes.size())
    , mRandom{ 11 }
  {
    for (std::size_t at = 0; at < mServers.size(); ++at) {
      mServers[at].zone = ZoneIndex(aRoutes.graph.nodes[at].stage.zone);
      mIndex[aRoutes.graph.nodes[at].stage.server] = at;
    }
    const auto zones = aCluster.zones.size();
    mLinkFree.resize(zones * zones);
    mLinkTime.resize(zones * zones);
    mLinkDelay.resize(zones * zones);
    for (const auto& link : aCluster.links) {
      const auto one = ZoneIndex(link.one);
      const auto other = ZoneIndex(link.other);
      for (const auto at : { one * zones + other, other * zones + one }) {
        mLinkTime[at] = static_cast<double>(aCluster.pipeline.activationBytes) /
                        link.bytesPerSecond;
        mLinkDelay[at] = std::chrono::duration<double>{ link.delay }.count();
      }
    }
    for (std::size_t at = 0; at < zones * aCluster.hostsPerZone; ++at) {
      mHosts.push_back(
        { .zone = at % zones, .router = Router{ fake::Random{ at + 1 } } });
    }
  }

  Output Run(std::size_t aStreams, double aWarmUp, double aEnd)
  {
    mWarmUp = aWarmUp;
    mTokens.assign(mCluster.zones.size(), 0);
    mStreams.resize(aStreams);
    for (std::size_t at = 0; at < aStreams; ++at) {
      mStreams[at].host = at % mHosts.size();
      const auto spread = static_cast<double>(at) / aStreams;
      mEvents.push({ spread, at, Kind::Begin });
    }
    double nextReport = 0;
    while (mEvents.top().time < aEnd) {
      const auto event = mEvents.top();
      mEvents.pop();
      while (event.time >= nextReport) {
        ReportLoads(nextReport);
        nextReport += kReportInterval;
      }
      Handle(event);
    }
    return Measured(aEnd - aWarmUp);
  }

private:
  using Router = route::BasicRouter<Policy, fake::Random>;

  static constexpr double kReportInterval = 0.5;
  static constexpr std::size_t kReportLag = 2;
  static constexpr double kLocalDelay = 0.0001;

  enum class Kind : std::uint8_t
  {
    Begin,
    AtHost,
    AtServer,
    Served,
  };

  struct Event
  {
    double time{};
    std::size_t stream{};
    Kind kind{};

    bool operator<(const Event& aOther) const { return time > aOther.time; }
  };

  struct ServerModel
  {
    std::size_t zone{};
    double freeAt{};
    std::uint32_t running{};
    std::deque<std::uint32_t> reports;
  };

  struct Host
  {
    std::size_t zone{};
    Router router;
  };

  struct Stream
  {
    std::size_t host{};
    route::Chain chain;
    std::vector<std::size_t> servers;
    std::size_t stage{};
    std::uint32_t tokensLeft{};
  };

  static Instant At(double aSeconds)
  {
    return Instant{ std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>{ aSeconds }) };
  }

  std::size_t ZoneIndex(const ZoneId& aZone) const
  {
    return static_cast<std::size_t>(std::ranges::find(mCluster.zones, aZone) -
                                    mCluster.zones.begin());
  }

  void ReportLoads(double aTime)
  {
    for (std::size_t at = 0; at < mServers.size(); ++at) {
      auto& server = mServers[at];
      server.reports.push_back(server.running);
      if (server.reports.size() <= kReportLag) {
        continue;
      }
      server.reports.pop_front();
      mRoutes.graph.nodes[at].load.runningRequests = server.reports.front();
      mRoutes.graph.nodes[at].reportedAt = At(aTime);
    }
  }

  void Handle(const Event& aEvent)
  {
    switch (aEvent.kind) {
      case Kind::Begin:
        BeginStream(aEvent);
        break;
      case Kind::AtHost:
        SendOn(aEvent);
        break;
      case Kind::AtServer:
        Serve(aEvent);
        break;
      case Kind::Served:
        SendBack(aEvent);
        break;
    }
  }

  void BeginStream(const Event& aEvent)
  {
    auto& stream = mStreams[aEvent.stream];
    auto& host = mHosts[stream.host];
    const route::RouteRequest request{ .layers = { 0, mRoutes.graph.layers },
                                       .entry = mCluster.zones[host.zone] };
    stream.chain =
      host.router.Choose(mRoutes, request, At(aEvent.time)).value();
    stream.servers.clear();
    for (const auto& stage : stream.chain) {
      stream.servers.push_back(mIndex.at(stage.server));
      ++mServers[stream.servers.back()].running;
    }
    stream.stage = 0;
    stream.tokensLeft =
      mCluster.meanTokens / 2 +
      static_cast<std::uint32_t>(mRandom.Next() % mCluster.meanTokens);
    mEvents.push({ aEvent.time, aEvent.stream, Kind::AtHost });
  }

  /** When an activation sent now arrives in another zone. */
  double Transfer(double aTime, std::size_t aFrom, std::size_t aTo)
  {
    if (aFrom == aTo) {
      return aTime + kLocalDelay;
    }
    const auto link = aFrom * mCluster.zones.size() + aTo;
    mLinkFree[link] = std::max(aTime, mLinkFree[link]) + mLinkTime[link];
    return mLinkFree[link] + mLinkDelay[link];
  }

  void SendOn(const Event& aEvent)
  {
    auto& stream = mStreams[aEvent.stream];
    const auto zone = mHosts[stream.host].zone;
    if (stream.stage == stream.chain.size()) {
      stream.stage = 0;
      if (aEvent.time >= mWarmUp) {
        ++mTokens[zone];
      }
      if (--stream.tokensLeft == 0) {
        EndStream(aEvent);
        return;
      }
    }
    const auto server = mServers[stream.servers[stream.stage]].zone;
    mEvents.push(
      { Transfer(aEvent.time, zone, server), aEvent.stream, Kind::AtServer });
  }

  void Serve(const Event& aEvent)
  {
    const auto& stream = mStreams[aEvent.stream];
    const auto& stage = stream.chain[stream.stage];
    auto& server = mServers[stream.servers[stream.stage]];
    server.freeAt = std::max(aEvent.time, server.freeAt) +
                    stage.layers.Size() / stage.layerTokensPerSecond;
    mEvents.push({ server.freeAt, aEvent.stream, Kind::Served });
  }

  void SendBack(const Event& aEvent)
  {
    auto& stream = mStreams[aEvent.stream];
    const auto server = mServers[stream.servers[stream.stage]].zone;
    ++stream.stage;
    mEvents.push({ Transfer(aEvent.time, server, mHosts[stream.host].zone),
                   aEvent.stream,
                   Kind::AtHost });
  }

  void EndStream(const Event& aEvent)
  {
    auto& stream = mStreams[aEvent.stream];
    mHosts[stream.host].router.Release(stream.chain);
    for (const auto server : stream.servers) {
      --mServers[server].running;
    }
    mEvents.push({ aEvent.time, aEvent.stream, Kind::Begin });
  }

  Output Measured(double aTime) const
  {
    double all{};
    for (const auto tokens : mTokens) {
      all += static_cast<double>(tokens);
    }
    Output output{ .tokensPerSecond = all / aTime };
    for (std::size_t zone = 0; zone < mTokens.size(); ++zone) {
      output.shares.push_back(
        { .zone = mCluster.zones[zone],
          .share = static_cast<double>(mTokens[zone]) / all });
    }
    return output;
  }

  const Cluster& mCluster;
  route::Routes mRoutes;
  std::vector<ServerModel> mServers;
  std::map<ServerId, std::size_t> mIndex;
  std::vector<double> mLinkFree;
  std::vector<double> mLinkTime;
  std::vector<double> mLinkDelay;
  std::vector<Host> mHosts;
  std::vector<Stream> mStreams;
  std::priority_queue<Event> mEvents;
  fake::Random mRandom;
  std::vector<std::uint64_t> mTokens;
  double mWarmUp{};
};

} // namespace balsampoint::bench
