#include "balsampoint/peer/generated/peer_types.h"
#include "balsampoint/peer/member_codec.hpp"
#include "balsampoint/peer/registry_codec.hpp"
#include "balsampoint/peer/thrift_bytes.hpp"

#include "fake/hosts.hpp"
#include "report.hpp"

#include <algorithm>
#include <array>

using namespace balsampoint;
using namespace std::chrono_literals;

namespace {

constexpr Duration kRenewal = 660ms;
/** Header of the Thrift call, its length, and the TCP/IP headers with options.
 */
constexpr std::size_t kCallAndPacketBytes = 16 + 52;

struct Size
{
  int hosts;
  int servers;
  int zones;
};

HostId
HostName(int aNumber)
{
  return HostId{ "host-" + std::to_string(1000 + aNumber) };
}

ServerId
ServerName(int aNumber)
{
  return ServerId{ "server-" + std::to_string(10000 + aNumber) };
}

ZoneId
ZoneName(int aNumber)
{
  return ZoneId{ "zone-" + std::to_string(100 + aNumber) };
}

registry::Announcement
ServerOf(int aNumber, const ZoneId& aZone)
{
  constexpr std::uint32_t kLayers = 32;
  const auto stage = static_cast<std::uint32_t>(aNumber / 22 % 4);
  return {
    .server = ServerName(aNumber),
    .incarnation = Incarnation{ 1'700'000'000'000 },
    .address = "10.0." + std::to_string(aNumber / 250) + "." +
               std::to_string(aNumber % 250) + ":9000",
    .zone = aZone,
    .acceleratorKind = "kind-" + std::to_string(aNumber % 8),
    .layerTokensPerSecond = 4000.0,
    .holdings = { { .model = ModelId{ "model-" + std::to_string(aNumber % 22) },
                    .version = "2026-11",
                    .layers = { .begin = stage * 8, .end = stage * 8 + 8 },
                    .modelLayers = kLayers } },
    .kvCapacityTokens = 400'000
  };
}

std::size_t
FrameBytes(const HostId& aFrom, const fake::Hosts::Message& aMessage)
{
  const auto body =
    std::visit([](const auto& aOne) { return peer::Encode(aOne); }, aMessage);
  peer::generated::Frame frame;
  frame.version = 1;
  frame.cluster = "production";
  frame.sender = aFrom.String();
  frame.recipient = aFrom.String();
  frame.incarnation = 1'700'000'000'000;
  frame.target = 1;
  frame.body = peer::ToText(body);
  frame.mac.assign(32, 'm');
  return peer::ToBytes(frame).size() + kCallAndPacketBytes;
}

/** @brief A cluster whose servers renew on virtual time. */
class Cluster
{
public:
  Cluster(Size aSize, bool aBalanced, std::uint64_t aSeed)
    : hosts{ aSeed }
    , size{ aSize }
    , mBalanced{ aBalanced }
    , mRandom{ aSeed }
  {
    std::vector<HostId> seeds;
    for (int at = 0; at < size.zones; ++at) {
      seeds.push_back(HostName(at));
    }
    for (int at = 0; at < size.hosts; ++at) {
      hosts.Start(HostName(at), ZoneName(at % size.zones), seeds);
    }
    Run(10s);
    for (int at = 0; at < size.servers; ++at) {
      servers.push_back(ServerOf(at, ZoneName(at % size.zones)));
      at_.push_back(HostOf(at));
    }
    silent.assign(servers.size(), false);
  }

  /** Lets time pass; every server renews once in each renewal interval. */
  void Run(Duration aTime)
  {
    const auto end = hosts.now + aTime;
    while (hosts.now < end) {
      const auto step = kRenewal / 50;
      hosts.RunTo(hosts.now + step);
      mSlot = (mSlot + 1) % 50;
      for (std::size_t at = mSlot; at < servers.size(); at += 50) {
        Announce(at);
      }
    }
  }

  void Announce(std::size_t aServer)
  {
    if (silent[aServer]) {
      return;
    }
    auto& load = servers[aServer].load;
    load.runningRequests = static_cast<std::uint32_t>(mRandom.Next() % 64);
    load.kvTokensUsed = mRandom.Next() % 400'000;
    auto host = at_[aServer];
    if (mBalanced) {
      host = HostOf(static_cast<int>(aServer));
    }
    while (!hosts.hosts.at(host).running) {
      host = at_[aServer] = HostOf(static_cast<int>(aServer));
    }
    hosts.Tell(host,
               registry::Event{
                 registry::Announced{ .announcement = servers[aServer] } });
  }

  HostId HostOf(int aServer)
  {
    const auto zone = aServer % size.zones;
    const auto inZone = (size.hosts - zone + size.zones - 1) / size.zones;
    const auto chosen =
      static_cast<int>(mRandom.Next() % static_cast<std::uint64_t>(inZone));
    return HostName(zone + chosen * size.zones);
  }

  /** Running hosts of the first zone. */
  std::vector<HostId> Zone() const
  {
    std::vector<HostId> ids;
    for (int at = 0; at < size.hosts; at += size.zones) {
      if (hosts.hosts.at(HostName(at)).running) {
        ids.push_back(HostName(at));
      }
    }
    return ids;
  }

  /** Time until a test holds at all hosts of the first zone. */
  template<typename Test>
  double SecondsUntil(Test aTest)
  {
    const auto start = hosts.now;
    const auto holds = [&] {
      const auto zone = Zone();
      return std::ranges::all_of(zone, aTest);
    };
    while (!holds() && hosts.now < start + 30s) {
      Run(kRenewal / 50);
    }
    return std::chrono::duration<double>(hosts.now - start).count();
  }

  fake::Hosts hosts;
  Size size;
  std::vector<registry::Announcement> servers;
  std::vector<HostId> at_;
  std::vector<bool> silent;

private:
  bool mBalanced;
  SplitMix64 mRandom;
  std::size_t mSlot{};
};

struct Traffic
{
  double mean{};
  double highest{};
};

Traffic
MeasureTraffic(Size aSize, bool aBalanced)
{
  Cluster cluster{ aSize, aBalanced, 7 };
  cluster.Run(15s);
  std::map<HostId, double> bytes;
  double total{};
  cluster.hosts.onSent =
    [&](const HostId& aFrom, const HostId& aTo, const auto& aMessage) {
      const auto size = static_cast<double>(FrameBytes(aFrom, aMessage));
      bytes[aFrom] += size;
      bytes[aTo] += size;
      total += 2 * size;
    };
  constexpr double kSeconds = 60;
  cluster.Run(60s);
  Traffic traffic{ .mean = total / kSeconds / aSize.hosts };
  for (const auto& [host, sum] : bytes) {
    traffic.highest = std::max(traffic.highest, sum / kSeconds);
  }
  return traffic;
}

/** @brief Longest times in seconds over all runs. */
struct Convergence
{
  double join{};
  double leave{};
  double loss{};
  double lossWithHost{};
  double heal{};
  double cut{};
};

void
Keep(double& aLongest, double aSeconds)
{
  aLongest = std::max(aLongest, aSeconds);
}

bool
ShowsAs(const Cluster& aCluster,
        const HostId& aHost,
        const ServerId& aServer,
        registry::ServerState aState)
{
  const auto& view = aCluster.hosts.hosts.at(aHost).view;
  return view && std::ranges::any_of(view->servers, [&](const auto& aOne) {
           return aOne.announcement.server == aServer &&
                  aOne.announcement.state == aState;
         });
}

void
MeasureServer(Cluster& aCluster, Convergence& aTimes)
{
  const auto& server = aCluster.servers[0];
  const auto shows = [&](const HostId& aHost) {
    return aCluster.hosts.Shows(aHost, server.server);
  };
  aCluster.silent[0] = false;
  aCluster.servers[0].incarnation = server.incarnation.Next();
  aCluster.servers[0].state = registry::ServerState::Ready;
  aCluster.Announce(0);
  Keep(aTimes.join, aCluster.SecondsUntil(shows));
  aCluster.Run(2s);
  aCluster.servers[0].state = registry::ServerState::Leaving;
  aCluster.Announce(0);
  Keep(aTimes.leave, aCluster.SecondsUntil([&](const HostId& aHost) {
    return ShowsAs(
      aCluster, aHost, server.server, registry::ServerState::Leaving);
  }));
  aCluster.Run(2s);
  aCluster.Announce(0);
  aCluster.silent[0] = true;
  Keep(aTimes.loss, aCluster.SecondsUntil([&](const HostId& aHost) {
    return !shows(aHost);
  }));
  aCluster.Run(2s);
}

void
MeasureLossWithHost(Cluster& aCluster, Convergence& aTimes)
{
  const auto zone = static_cast<std::size_t>(aCluster.size.zones);
  const auto host = aCluster.at_[zone];
  aCluster.Announce(zone);
  aCluster.silent[zone] = true;
  aCluster.hosts.Kill(host);
  Keep(aTimes.lossWithHost, aCluster.SecondsUntil([&](const HostId& aHost) {
    return !aCluster.hosts.Shows(aHost, aCluster.servers[zone].server);
  }));
}

void
MeasureSplit(Cluster& aCluster, Convergence& aTimes)
{
  const auto zone = aCluster.Zone();
  const std::span all{ zone };
  const auto left = all.first(all.size() / 2);
  const auto right = all.subspan(all.size() / 2);
  aCluster.hosts.CutBetween(left, right, true);
  Keep(aTimes.cut, aCluster.SecondsUntil([&](const HostId& aHost) {
    const auto& near = aCluster.hosts.hosts.at(aHost).registry.zoneHosts;
    const bool isLeft = std::ranges::find(left, aHost) != left.end();
    return std::ranges::none_of(isLeft ? right : left, [&](const auto& aOne) {
      return near.contains(aOne);
    });
  }));
  aCluster.Run(10s);
  aCluster.hosts.CutBetween(left, right, false);
  Keep(aTimes.heal, aCluster.SecondsUntil([&](const HostId& aHost) {
    const auto& view = aCluster.hosts.hosts.at(aHost).view;
    std::size_t expected{};
    for (std::size_t at = 0; at < aCluster.servers.size();
         at += static_cast<std::size_t>(aCluster.size.zones)) {
      expected += aCluster.silent[at] ? 0 : 1;
    }
    return view->servers.size() == expected;
  }));
}

Convergence
MeasureConvergence()
{
  Convergence times;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Cluster cluster{ { .hosts = 30, .servers = 80, .zones = 1 }, false, seed };
    cluster.silent[0] = true;
    cluster.Run(5s);
    for (int time = 0; time < 5; ++time) {
      MeasureServer(cluster, times);
    }
    MeasureLossWithHost(cluster, times);
    cluster.Run(5s);
    MeasureSplit(cluster, times);
  }
  return times;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  bench::Report report{ "registry",
                        { aArguments, static_cast<std::size_t>(aCount) } };
  const auto times = MeasureConvergence();
  constexpr std::string_view kTarget = "convergence within 3 s";
  report.AtMost("server joins: all hosts know", times.join, "s", 3, kTarget);
  report.AtMost("server leaves: all hosts know", times.leave, "s", 3, kTarget);
  report.AtMost("server lost: all hosts know", times.loss, "s", 3, kTarget);
  report.AtMost("zone healed: one registry again", times.heal, "s", 3, kTarget);
  report.Add("server lost with its host", times.lossWithHost, "s");
  report.Add("zone cut: other side out of reach", times.cut, "s");
  constexpr std::array kSizes{ Size{ 9, 43, 3 },
                               Size{ 60, 160, 4 },
                               Size{ 170, 450, 8 },
                               Size{ 410, 1100, 14 } };
  for (const auto& size : kSizes) {
    const auto name = std::to_string(size.hosts) + " hosts, " +
                      std::to_string(size.servers) + " servers: ";
    const auto traffic = MeasureTraffic(size, true);
    constexpr std::string_view kBudget = "10 KB/s for all control of a host";
    report.AtMost(name + "mean", traffic.mean, "B/s", 10'000, kBudget);
    report.AtMost(
      name + "highest host", traffic.highest, "B/s", 10'000, kBudget);
  }
  return report.Finish();
}
