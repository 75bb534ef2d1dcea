#include "balsampoint/usage/command/sum_up.hpp"

#include <algorithm>

namespace balsampoint::usage {

namespace {

using Totals = std::map<ServerId, ServerUse>;

Totals
TotalsOf(const State& aState)
{
  Totals totals;
  for (const auto& [host, reported] : aState.reports) {
    for (const auto& use : reported.use.servers) {
      auto& total = totals[use.server];
      total.server = use.server;
      total.passing += use.passing;
      total.sent += use.sent;
      total.kv += use.kv;
    }
  }
  return totals;
}

OthersUse
Without(Totals aTotals, const OwnUse& aOwn)
{
  for (const auto& use : aOwn.servers) {
    auto& total = aTotals[use.server];
    total.passing -= use.passing;
    total.sent -= use.sent;
    total.kv = std::max(0.0, total.kv - use.kv);
  }
  OthersUse others;
  for (auto& [server, use] : aTotals) {
    if (use.passing > 0 || use.sent > 0) {
      others.servers.push_back(std::move(use));
    }
  }
  return others;
}

} // namespace

void
SumUp(State& aState, Instant aNow, Actions& aActions)
{
  std::erase_if(aState.reports, [&](const auto& aEntry) {
    return aNow - aEntry.second.at > aState.settings.lifetime;
  });
  const auto totals = TotalsOf(aState);
  for (const auto& [host, reported] : aState.reports) {
    auto others = Without(totals, reported.use);
    others.hosts = static_cast<std::uint32_t>(aState.reports.size() - 1);
    if (host == aState.settings.self) {
      aActions.emplace_back(
        Tell{ std::make_shared<const OthersUse>(std::move(others)) });
      continue;
    }
    aActions.emplace_back(Send{ host, std::move(others) });
  }
}

} // namespace balsampoint::usage
