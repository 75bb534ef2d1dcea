#include "balsampoint/edge/connection_probes.hpp"

#include <chrono>
#include <utility>

namespace balsampoint::edge {

namespace {

/** Several times the latency between regions. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds{ 100 };

/** Time for which a sound server's connection stays open. */
constexpr Duration kOpenTime = std::chrono::milliseconds{ 20 };

} // namespace

ConnectionProbes::ConnectionProbes(boost::asio::io_context& aContext)
  : mContext{ aContext }
  , mConnections{ aContext, { .connectTimeout = kConnectTimeout } }
{
}

void
ConnectionProbes::Probe(const std::string& aAddress,
                        std::optional<DetourPath> aDetour,
                        Callback aCallback)
{
  const Key key{ aAddress, aDetour.has_value() };
  auto& pending = mPending[key];
  pending.callbacks.push_back(std::move(aCallback));
  if (pending.connection) {
    return;
  }
  pending.connection = mConnections.Make(aAddress, std::move(aDetour));
  pending.connection->SetObserver(
    [this, key](ServerSignal aSignal) { OnSignal(key, aSignal); });
  pending.connection->Connect();
}

void
ConnectionProbes::OnSignal(const Key& aKey, ServerSignal aSignal)
{
  const auto found = mPending.find(aKey);
  if (found == mPending.end()) {
    return;
  }
  if (aSignal != ServerSignal::Connected) {
    OnResult(aKey,
             found->second.connection->DetourFailed() ? ProbeResult::Unknown
                                                      : ProbeResult::Refuses);
    return;
  }
  found->second.timer = std::make_unique<net::Timer>(mContext);
  found->second.timer->Set(
    kOpenTime, [this, aKey] { OnResult(aKey, ProbeResult::Accepts); });
}

void
ConnectionProbes::OnResult(const Key& aKey, ProbeResult aResult)
{
  const auto found = mPending.extract(aKey);
  if (!found) {
    return;
  }
  found.mapped().connection->Close();
  for (const auto& callback : found.mapped().callbacks) {
    callback(aResult);
  }
}

} // namespace balsampoint::edge
