#include "balsampoint/edge/server_prober.hpp"

#include "balsampoint/fleet/command/record_probe.hpp"
#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/query/silent_servers.hpp"
#include "balsampoint/trace/event.hpp"

namespace balsampoint::edge {

namespace {

/** Time between two polls; a fraction of the usual time between events. */
constexpr Duration kPollInterval = std::chrono::milliseconds{ 20 };
/** Many times the latency between zones, and a fraction of the allowed pause
 * between events. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds{ 40 };

} // namespace

ServerProber::ServerProber(TrafficState& aTraffic)
  : mTraffic{ aTraffic }
  , mTimer{ aTraffic.loop.Context() }
  , mConnections{ aTraffic.loop.Context(),
                  { .connectTimeout = kConnectTimeout } }
{
}

void
ServerProber::Start()
{
  mTimer.Set(kPollInterval, [this] { Poll(); });
}

void
ServerProber::Poll()
{
  const auto now = TrafficState::Now();
  for (const auto& silent : fleet::SilentServers(mTraffic.fleet, now)) {
    fleet::RecordProbe(mTraffic.fleet, silent.service, silent.server, now);
    Probe(silent.service, silent.server, silent.address);
  }
  Start();
}

void
ServerProber::Probe(const ServiceId& aService,
                    const ServerId& aServer,
                    const std::string& aAddress)
{
  if (mProbes.contains(aAddress)) {
    return;
  }
  auto connection =
    mConnections.Make(aAddress, mTraffic.links.TakePath(aAddress));
  mProbes.emplace(aAddress, connection);
  connection->SetObserver(
    [this, service = aService, server = aServer, aAddress](
      ServerSignal aSignal) {
      OnProbeResult(
        service, server, aAddress, aSignal == ServerSignal::Connected);
    });
  connection->Connect();
}

void
ServerProber::OnProbeResult(const ServiceId& aService,
                            const ServerId& aServer,
                            const std::string& aAddress,
                            bool aReachable)
{
  const auto found = mProbes.find(aAddress);
  if (found == mProbes.end()) {
    return;
  }
  const auto connection = std::move(found->second);
  mProbes.erase(found);
  connection->Close();
  if (aReachable || connection->DetourFailed()) {
    return;
  }
  if (connection->HasDetour()) {
    OnServerLost(aService, aServer, aAddress);
    return;
  }
  mTraffic.links.Check([this, aService, aServer, aAddress](bool aReached) {
    if (aReached) {
      OnServerLost(aService, aServer, aAddress);
    }
  });
}

void
ServerProber::OnServerLost(const ServiceId& aService,
                           const ServerId& aServer,
                           const std::string& aAddress)
{
  trace::Event{ "server_unreachable" }
    .With("server", aServer)
    .With("address", aAddress);
  fleet::RecordOutcome(mTraffic.fleet,
                       aService,
                       aAddress,
                       fleet::RequestOutcome::Unreachable,
                       TrafficState::Now());
  mTraffic.NotifyServerLost(aServer);
}

} // namespace balsampoint::edge
