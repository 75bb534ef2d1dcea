#include "balsampoint/fleet/query/make_local_usage.hpp"

#include "balsampoint/fleet/internal/rate_share.hpp"

#include <algorithm>
#include <optional>

namespace balsampoint::fleet {

namespace {

/** @brief What the other hosts need to know of a server's rate. */
std::optional<usage::RateStatement>
StatementOf(const Server& aServer, Instant aNow)
{
  if (!aServer.rateLimit && aServer.tellEndUntil <= aNow) {
    return std::nullopt;
  }
  return usage::RateStatement{ .incarnation = aServer.claim.stamp.incarnation,
                               .limit = aServer.rateLimit,
                               .age = aNow - aServer.rateStatedAt };
}

} // namespace

usage::LocalUsage
MakeLocalUsage(const State& aState, Instant aNow)
{
  usage::LocalUsage use;
  for (const auto& [service, group] : aState.groups) {
    bool anyLimit = false;
    for (const auto& [id, server] : group.servers) {
      anyLimit = anyLimit || server.rateLimit;
      usage::ServerUsage one{ .server = id,
                              .passing = server.localWork.passing,
                              .sent = server.localWork.sent,
                              .kv = server.localWork.kv,
                              .rate = StatementOf(server, aNow) };
      if (server.rateLimit) {
        one.recent = server.sentRecently.Within(RecentCount::kLongest, aNow);
      }
      if (one.passing > 0 || one.recent > 0 || one.rate) {
        use.servers.push_back(one);
      }
    }
    if (anyLimit) {
      use.services.push_back(
        { service, internal::LocalDemandRate(group, aNow) });
    }
  }
  return use;
}

} // namespace balsampoint::fleet
