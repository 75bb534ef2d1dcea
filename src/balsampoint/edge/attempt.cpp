#include "balsampoint/edge/attempt.hpp"

#include "balsampoint/forward/decision.hpp"

#include <utility>

namespace balsampoint::edge {

void
Attempt::Reserve(const routing::Service& aService,
                 fleet::Chain aChain,
                 routing::RequestKind aKind)
{
  mService = &aService;
  mHops = std::move(aChain.hops);
  mReserved = { aChain.tokens,
                forward::IsStream(aKind) ? aChain.promptTokens : 0.0 };
  fleet::Reserve(mTraffic.fleet, mService->id, mHops, mReserved);
  fleet::CountZoneTokens(
    mTraffic.fleet, mService->id, mHops, mReserved, TrafficState::Now());
}

void
Attempt::Connect(const ServerObserver& aObserver)
{
  const auto& address = mHops.front().address;
  mServer =
    mTraffic.connections.Make(address, mTraffic.links.TakePath(address));
  mServer->SetObserver(aObserver);
  mServer->Connect();
}

void
Attempt::Send(EncodedRequest aRequest)
{
  fleet::CountSend(
    mTraffic.fleet, mService->id, mHops.front(), TrafficState::Now());
  mServer->Send(std::move(aRequest));
}

void
Attempt::Probe(ProbeCallback aCallback)
{
  const auto address = mHops.front().address;
  auto path = mTraffic.links.TakePath(address);
  const bool byDetour = path.has_value();
  mServer = nullptr;
  mTraffic.probes.Probe(
    address,
    std::move(path),
    [callback = std::move(aCallback), byDetour](ProbeResult aResult) {
      callback(aResult, byDetour);
    });
}

bool
Attempt::HasRestarted() const
{
  return edge::HasRestarted(mTraffic, mHops.front());
}

void
Attempt::RecordOutcome(fleet::RequestOutcome aOutcome,
                       std::string_view aAddress) const
{
  if (mHops.empty()) {
    return;
  }
  fleet::RecordOutcome(mTraffic.fleet,
                       mService->id,
                       aAddress.empty() ? mHops.front().address : aAddress,
                       aOutcome,
                       TrafficState::Now());
}

void
Attempt::RecordEvents(Duration aSinceLast, Instant aNow)
{
  std::optional<Duration> interval;
  if (mStreaming) {
    interval = aSinceLast;
  } else {
    mStreaming = true;
    fleet::CountStream(mTraffic.fleet, mService->id, mHops, true);
  }
  fleet::RecordEvent(
    mTraffic.fleet, mService->id, mHops, mReserved, interval, aNow);
}

void
Attempt::Release()
{
  if (auto server = std::exchange(mServer, nullptr)) {
    server->Close();
  }
  if (std::exchange(mStreaming, false)) {
    fleet::CountStream(mTraffic.fleet, mService->id, mHops, false);
  }
  if (!mHops.empty()) {
    fleet::Release(mTraffic.fleet, mService->id, mHops, mReserved);
    mHops.clear();
  }
}

} // namespace balsampoint::edge
