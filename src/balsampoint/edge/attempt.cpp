#include "balsampoint/edge/attempt.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::edge {

tl::expected<void, Error>
Attempt::Choose(const routing::Service& aService,
                const RequestParameters& aParameters,
                const ServerRestrictions& aRestrictions)
{
  auto chosen = ChooseServers(mTraffic, aService, aParameters, aRestrictions);
  if (!chosen) {
    return tl::unexpected(std::move(chosen.error()));
  }
  mService = &aService;
  mHops = std::move(chosen->hops);
  mTokens = chosen->tokens;
  fleet::Reserve(mTraffic.fleet, mService->id, mHops, mTokens);
  return {};
}

std::optional<Duration>
Attempt::TakeIdle(const RequestId& aRequest, const ServerObserver& aObserver)
{
  mServer = mTraffic.pool.TakeIdle(mHops.front().address, aRequest);
  if (!mServer) {
    return std::nullopt;
  }
  mServer->SetObserver(aObserver);
  return mServer->IdleTime();
}

void
Attempt::Connect(const ServerObserver& aObserver)
{
  const auto& address = mHops.front().address;
  mServer = mTraffic.pool.Make(address, mTraffic.links.TakePath(address));
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
  const auto& server = mHops.front();
  return mTraffic.servers &&
         std::ranges::any_of(
           mTraffic.servers->servers, [&](const roster::Server& aAnnounced) {
             const auto& claim = aAnnounced.claim;
             return claim.description.address == server.address &&
                    claim.stamp.incarnation > server.incarnation;
           });
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
  fleet::RecordEvent(mTraffic.fleet, mService->id, mHops, interval, aNow);
}

void
Attempt::ReturnConnection()
{
  if (mServer) {
    mTraffic.pool.Return(std::exchange(mServer, nullptr));
  }
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
    fleet::Release(mTraffic.fleet, mService->id, mHops, mTokens);
    mHops.clear();
  }
}

} // namespace balsampoint::edge
