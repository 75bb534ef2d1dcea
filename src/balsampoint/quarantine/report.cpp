#include "balsampoint/quarantine/report.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace balsampoint::quarantine {

namespace {

void
JoinInto(SuspectReport& aJoined, const SuspectReport& aReport)
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
  aJoined.cameAgain = aJoined.cameAgain || aReport.cameAgain;
  if (!aReport.crashes.empty()) {
    aJoined.answersBegan = aJoined.answersBegan && aReport.answersBegan;
    aJoined.activeFor = std::min(aJoined.activeFor, aReport.activeFor);
  }
}

} // namespace

void
Age(SuspectReport& aReport, Duration aHeld)
{
  for (auto& crash : aReport.crashes) {
    crash.age += aHeld;
  }
  if (aReport.answeredFor) {
    *aReport.answeredFor += aHeld;
  }
  aReport.activeFor += aHeld;
}

bool
AccuseMore(std::span<const SuspectReport> aReports,
           std::span<const SuspectReport> aEarlier)
{
  return std::ranges::any_of(aReports, [&](const SuspectReport& aReport) {
    const auto known =
      std::ranges::find(aEarlier, aReport.suspect, &SuspectReport::suspect);
    return known == aEarlier.end() ||
           aReport.crashes.size() > known->crashes.size() ||
           (aReport.cameAgain && !known->cameAgain);
  });
}

std::vector<SuspectReport>
Join(std::span<const SuspectReport> aReports)
{
  std::map<SuspectId, SuspectReport> joined;
  for (const auto& report : aReports) {
    const auto [known, added] =
      joined.try_emplace(report.suspect,
                         SuspectReport{ .suspect = report.suspect,
                                        .activeFor = Duration::max(),
                                        .answersBegan = true });
    JoinInto(known->second, report);
  }
  std::vector<SuspectReport> reports;
  reports.reserve(joined.size());
  for (auto& [suspect, report] : joined) {
    reports.push_back(std::move(report));
  }
  return reports;
}

} // namespace balsampoint::quarantine
