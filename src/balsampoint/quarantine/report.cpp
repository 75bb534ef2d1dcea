#include "balsampoint/quarantine/report.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace balsampoint::quarantine {

namespace {

void
JoinInto(PartReport& aJoined, const PartReport& aReport)
{
  for (const auto& crash : aReport.crashes) {
    const auto known =
      std::ranges::find(aJoined.crashes, crash.server, &CrashReport::server);
    if (known == aJoined.crashes.end()) {
      aJoined.crashes.push_back(crash);
    } else {
      known->age = std::max(known->age, crash.age);
    }
  }
  if (aReport.answeredFor) {
    aJoined.answeredFor = std::min(
      aJoined.answeredFor.value_or(Duration::max()), *aReport.answeredFor);
  }
  if (!aReport.crashes.empty()) {
    aJoined.activeFor = std::min(aJoined.activeFor, aReport.activeFor);
  }
}

} // namespace

void
Age(PartReport& aReport, Duration aHeld)
{
  for (auto& crash : aReport.crashes) {
    crash.age += aHeld;
  }
  if (aReport.answeredFor) {
    *aReport.answeredFor += aHeld;
  }
  aReport.activeFor += aHeld;
}

std::vector<PartReport>
Join(std::span<const PartReport> aReports)
{
  std::map<PromptPartId, PartReport> joined;
  for (const auto& report : aReports) {
    const auto [known, added] = joined.try_emplace(
      report.part,
      PartReport{ .part = report.part, .activeFor = Duration::max() });
    JoinInto(known->second, report);
  }
  std::vector<PartReport> reports;
  reports.reserve(joined.size());
  for (auto& [part, report] : joined) {
    reports.push_back(std::move(report));
  }
  return reports;
}

} // namespace balsampoint::quarantine
