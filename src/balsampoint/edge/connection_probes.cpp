#include "balsampoint/edge/connection_probes.hpp"

#include "balsampoint/runtime/steady_clock.hpp"

#include <chrono>
#include <string_view>
#include <utility>

namespace balsampoint::edge {

namespace {

/** Several times the latency between regions. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds{ 100 };

/** Time for which a sound server's connection stays open. */
constexpr Duration kOpenTime = std::chrono::milliseconds{ 20 };

/** Time in which bytes must be acknowledged; systems may delay that by 200 ms.
 */
constexpr Duration kAckTime = std::chrono::milliseconds{ 250 };

/** Time between two looks whether they are. */
constexpr Duration kAckPoll = std::chrono::milliseconds{ 5 };

/** Time between the acknowledgement of the first bytes and the second ones;
 * 20 ms after it was established, a connection to an address that was cut off
 * was often still acknowledged on a busy machine. */
constexpr Duration kAgainTime = std::chrono::milliseconds{ 150 };

/** HTTP/1.1 servers skip an empty line before a request (RFC 9112, 2.2). */
constexpr std::string_view kEmptyLine = "\r\n";

} // namespace

ConnectionProbes::ConnectionProbes(boost::asio::io_context& aContext)
  : mContext{ aContext }
  , mConnections{ aContext, { .connectTimeout = kConnectTimeout } }
{
}

void
ConnectionProbes::Probe(const std::string& aAddress,
                        std::optional<DetourPath> aDetour,
                        Callback aCallback,
                        reach::Proof aProof)
{
  const Key key{ aAddress, aDetour.has_value(), aProof };
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
  if (found->second.sent && aSignal == ServerSignal::ResponseData) {
    OnResult(aKey, ProbeResult::Accepts);
    return;
  }
  if (aSignal != ServerSignal::Connected) {
    OnResult(aKey,
             found->second.connection->DetourFailed() ? ProbeResult::Unknown
                                                      : ProbeResult::Refuses);
    return;
  }
  found->second.timer = std::make_unique<net::Timer>(mContext);
  found->second.timer->Set(kOpenTime, [this, aKey] { OnOpen(aKey); });
}

void
ConnectionProbes::OnOpen(const Key& aKey)
{
  auto& pending = mPending.at(aKey);
  if (std::get<reach::Proof>(aKey) == reach::Proof::Open ||
      !pending.connection->Acknowledgement()) {
    OnResult(aKey, ProbeResult::Accepts);
    return;
  }
  pending.unsent = kEmptyLine;
  SendPart(aKey);
}

void
ConnectionProbes::SendPart(const Key& aKey)
{
  auto& pending = mPending.at(aKey);
  const auto part = pending.unsent.substr(0, 1);
  pending.unsent.remove_prefix(part.size());
  pending.sent = true;
  pending.sentAt = runtime::SteadyClock::Now();
  pending.connection->Send({ .bytes = std::string{ part } });
  pending.timer->Set(kAckPoll, [this, aKey] { AwaitAcknowledgement(aKey); });
}

void
ConnectionProbes::AwaitAcknowledgement(const Key& aKey)
{
  auto& pending = mPending.at(aKey);
  const auto state = pending.connection->Acknowledgement();
  if (!state || !state->unacknowledged) {
    if (pending.unsent.empty()) {
      OnResult(aKey, ProbeResult::Accepts);
    } else {
      pending.timer->Set(kAgainTime, [this, aKey] { SendPart(aKey); });
    }
    return;
  }
  if (runtime::SteadyClock::Now() - pending.sentAt >= kAckTime) {
    OnResult(aKey, ProbeResult::Silent);
    return;
  }
  pending.timer->Set(kAckPoll, [this, aKey] { AwaitAcknowledgement(aKey); });
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
