#include "balsampoint/edge/server_statements.hpp"

#include "balsampoint/fleet/command/record_statement.hpp"
#include "balsampoint/trace/event.hpp"

#include <chrono>

namespace balsampoint::edge {

void
FollowStatements(TrafficState& aTraffic,
                 const ServiceId& aService,
                 const fleet::Hop& aHop,
                 const RequestId& aRequest,
                 const ResponseMetadata& aMetadata)
{
  if (aMetadata.leaving &&
      fleet::RecordLeaving(aTraffic.fleet, aService, aHop)) {
    aTraffic.metrics.Add(trace::Count::ServersLeaving);
    trace::Event{ "server_leaving" }
      .With("server", aHop.server)
      .With("request", aRequest);
  }
  if (!aMetadata.misdirected && fleet::RecordRateLimit(aTraffic.fleet,
                                                       aService,
                                                       aHop,
                                                       aMetadata.rateLimit,
                                                       TrafficState::Now())) {
    aTraffic.metrics.Add(trace::Count::RateLimitsNamed);
    trace::Event{ "server_rate_limit" }
      .With("server", aHop.server)
      .With("request", aRequest)
      .With("limited", aMetadata.rateLimit.has_value())
      .With("per_second", aMetadata.rateLimit.value_or(0.0));
  }
  if (!aMetadata.retryAfter) {
    return;
  }
  const auto until = TrafficState::Now() + *aMetadata.retryAfter;
  if (fleet::RecordBackOff(aTraffic.fleet, aService, aHop, until)) {
    const std::chrono::duration<double, std::milli> time =
      *aMetadata.retryAfter;
    aTraffic.metrics.Add(trace::Count::ServersBackedOff);
    trace::Event{ "server_backs_off" }
      .With("server", aHop.server)
      .With("request", aRequest)
      .With("for_ms", time.count());
  }
}

} // namespace balsampoint::edge
