#include "balsampoint/usage/internal/totals.hpp"

#include <algorithm>

namespace balsampoint::usage::internal {

void
Totals::Add(std::span<const ServerUsage> aServers)
{
  for (const auto& use : aServers) {
    auto& total = mServers[use.server];
    total.server = use.server;
    total.passing += use.passing;
    total.sent += use.sent;
    total.kv += use.kv;
  }
}

std::vector<ServerUsage>
Totals::Servers() const
{
  std::vector<ServerUsage> servers;
  servers.reserve(mServers.size());
  for (const auto& [server, use] : mServers) {
    if (use.passing > 0 || use.sent > 0) {
      servers.push_back(use);
    }
  }
  return servers;
}

std::vector<ServerUsage>
Totals::Without(std::span<const ServerUsage> aOwn) const
{
  auto others = *this;
  for (const auto& use : aOwn) {
    auto& total = others.mServers[use.server];
    total.passing -= std::min(total.passing, use.passing);
    total.sent -= std::min(total.sent, use.sent);
    total.kv = std::max(0.0, total.kv - use.kv);
  }
  return others.Servers();
}

} // namespace balsampoint::usage::internal
