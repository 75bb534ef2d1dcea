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

/** @brief The newest rejection that this host has met, while others need it. */
std::optional<usage::Rejection>
RejectionBy(const Server& aServer, const Settings& aSettings, Instant aNow)
{
  const auto& rejection = aServer.localRejection;
  if (rejection.at == Instant::min() ||
      aNow - rejection.at > aSettings.rejectionMemory) {
    return std::nullopt;
  }
  return usage::Rejection{ aNow - rejection.at, rejection.fill };
}

} // namespace

usage::LocalUsage
MakeLocalUsage(const State& aState, Instant aNow)
{
  usage::LocalUsage use;
  for (const auto& byService : aState.groups) {
    const Group& group = byService.second;
    bool anyLimit = false;
    for (const auto& entry : group.servers) {
      const Server& server = entry.second;
      const bool limited = server.rateLimit.has_value();
      anyLimit = anyLimit || limited;
      usage::ServerUsage one{ .server = entry.first,
                              .passing = server.localWork.passing,
                              .sent = server.localWork.sent,
                              .kv = server.localWork.kv,
                              .rate = StatementOf(server, aNow) };
      if (group.competing) {
        one.waitingPrompt = server.localWork.waitingPrompt;
        one.rejection = RejectionBy(server, aState.settings, aNow);
      }
      if (limited) {
        one.recent = server.sentRecently.Within(RecentCount::kLongest, aNow);
      }
      if (one.passing > 0 || one.recent > 0 || one.rate.has_value() ||
          one.rejection.has_value()) {
        use.servers.push_back(one);
      }
    }
    if (anyLimit) {
      use.services.push_back(
        { byService.first, internal::LocalDemandRate(group, aNow) });
    }
  }
  return use;
}

} // namespace balsampoint::fleet
