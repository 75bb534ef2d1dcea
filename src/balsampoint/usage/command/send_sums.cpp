#include "balsampoint/usage/command/send_sums.hpp"

#include <algorithm>

namespace balsampoint::usage {

namespace {

using Totals = std::map<ServerId, ServerUsage>;

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

/** @brief The suspects of all hosts, as old as they are by now. */
std::vector<quarantine::PartReport>
SuspectsOf(const State& aState, Instant aNow)
{
  std::vector<quarantine::PartReport> reports;
  for (const auto& [host, reported] : aState.reports) {
    for (auto report : reported.use.suspects) {
      quarantine::Age(report, aNow - reported.receivedAt);
      reports.push_back(std::move(report));
    }
  }
  return quarantine::Join(reports);
}

RemoteUsage
Subtract(Totals aTotals, const LocalUsage& aOwn)
{
  for (const auto& use : aOwn.servers) {
    auto& total = aTotals[use.server];
    total.passing -= use.passing;
    total.sent -= use.sent;
    total.kv = std::max(0.0, total.kv - use.kv);
  }
  RemoteUsage others;
  for (auto& [server, use] : aTotals) {
    if (use.passing > 0 || use.sent > 0) {
      others.servers.push_back(std::move(use));
    }
  }
  return others;
}

} // namespace

void
SendSums(State& aState, Instant aNow, Actions& aActions)
{
  std::erase_if(aState.reports, [&](const auto& aEntry) {
    return aNow - aEntry.second.receivedAt > aState.settings.reportTimeout;
  });
  const auto totals = TotalsOf(aState);
  const auto suspects = SuspectsOf(aState, aNow);
  for (const auto& [host, reported] : aState.reports) {
    auto others = Subtract(totals, reported.use);
    others.hosts = static_cast<std::uint32_t>(aState.reports.size() - 1);
    others.suspects = suspects;
    if (host == aState.settings.self) {
      aActions.emplace_back(PublishRemote{
        std::make_shared<const RemoteUsage>(std::move(others)) });
      continue;
    }
    aActions.emplace_back(Send{ host, std::move(others) });
  }
}

} // namespace balsampoint::usage
