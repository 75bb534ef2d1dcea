#include "balsampoint/quarantine/command/merge_reports.hpp"

#include "balsampoint/quarantine/internal/judge.hpp"

#include <algorithm>

namespace balsampoint::quarantine {

namespace {

void
MergeCrashes(State& aState, const PartReport& aReport, Instant aNow)
{
  const auto margin = aState.settings.reportMargin;
  if (aReport.crashes.empty() ||
      aReport.activeFor + margin > aState.settings.retention) {
    return;
  }
  const auto answered = aState.answered.find(aReport.part);
  auto& suspect = aState.suspects[aReport.part];
  for (const auto& crash : aReport.crashes) {
    const auto at = aNow - crash.age;
    if (answered == aState.answered.end() || at > answered->second.anywhere) {
      // A report takes some time, so the earliest estimate is the best.
      auto& known = suspect.crashes.try_emplace(crash.server, at).first->second;
      known = std::min(known, at);
    }
  }
  suspect.activeAt =
    std::max(suspect.activeAt, aNow - aReport.activeFor - margin);
  if (suspect.crashes.empty()) {
    aState.suspects.erase(aReport.part);
  }
}

} // namespace

void
MergeReports(State& aState, std::span<const PartReport> aReports, Instant aNow)
{
  aState.suspectedElsewhere.clear();
  for (const auto& report : aReports) {
    if (report.answeredFor) {
      internal::Clear(aState, report.part, aNow - *report.answeredFor);
    }
    MergeCrashes(aState, report, aNow);
    aState.suspectedElsewhere.insert(report.part);
  }
  if (!aState.suspects.empty() || !aState.verdicts.empty()) {
    internal::Judge(aState, aNow);
  }
}

} // namespace balsampoint::quarantine
