#include "balsampoint/edge/watch.hpp"

#include "balsampoint/fleet/command/record_probe.hpp"
#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/query/silent_servers.hpp"
#include "balsampoint/trace/event.hpp"

namespace balsampoint::edge {

namespace {

/** Time between two looks; a part of the usual time between events. */
constexpr Duration kLookInterval = std::chrono::milliseconds{ 20 };
/** Many times the delay between zones, and a part of the allowed pause. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds{ 40 };

} // namespace

Watch::Watch(Traffic& aTraffic)
  : mTraffic{ aTraffic }
  , mTimer{ aTraffic.loop.Context() }
  , mConnections{ aTraffic.loop.Context(),
                  { .connectTimeout = kConnectTimeout } }
{
}

void
Watch::Start()
{
  mTimer.Set(kLookInterval, [this] { Look(); });
}

void
Watch::Look()
{
  const auto now = Traffic::Now();
  for (const auto& silent : fleet::SilentServers(mTraffic.fleet, now)) {
    fleet::RecordProbe(mTraffic.fleet, silent.service, silent.server, now);
    Test(silent.service, silent.server, silent.address);
  }
  Start();
}

void
Watch::Test(const ServiceId& aService,
            const ServerId& aServer,
            const std::string& aAddress)
{
  if (mTests.contains(aAddress)) {
    return;
  }
  auto connection = mConnections.Make(aAddress);
  mTests.emplace(aAddress, connection);
  connection->Attach([this, service = aService, server = aServer, aAddress](
                       ServerSignal aSignal) {
    End(service, server, aAddress, aSignal == ServerSignal::Connected);
  });
  connection->Connect();
}

void
Watch::End(const ServiceId& aService,
           const ServerId& aServer,
           const std::string& aAddress,
           bool aReachable)
{
  const auto found = mTests.find(aAddress);
  if (found == mTests.end()) {
    return;
  }
  const auto connection = std::move(found->second);
  mTests.erase(found);
  connection->Close();
  if (aReachable) {
    return;
  }
  trace::Event{ "server_unreachable" }
    .With("server", aServer)
    .With("address", aAddress);
  fleet::RecordOutcome(mTraffic.fleet,
                       aService,
                       aAddress,
                       fleet::RequestOutcome::Unreachable,
                       Traffic::Now());
  mTraffic.TellLost(aServer);
}

} // namespace balsampoint::edge
