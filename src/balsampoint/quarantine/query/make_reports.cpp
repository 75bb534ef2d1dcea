#include "balsampoint/quarantine/query/make_reports.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::quarantine {

namespace {

std::optional<Duration>
AnsweredFor(const State& aState, const PromptPartId& aPart, Instant aNow)
{
  const auto found = aState.answered.find(aPart);
  if (found == aState.answered.end() || found->second.here == Instant::min()) {
    return std::nullopt;
  }
  return aNow - found->second.here;
}

PartReport
MakeReport(const State& aState,
           const PromptPartId& aPart,
           const Suspect& aSuspect,
           Instant aNow)
{
  PartReport report{ .part = aPart,
                     .answeredFor = AnsweredFor(aState, aPart, aNow),
                     .activeFor = aNow - aSuspect.activeAt };
  report.crashes.reserve(aSuspect.crashes.size());
  for (const auto& crash : aSuspect.crashes) {
    report.crashes.push_back({ crash.first, aNow - crash.second });
  }
  return report;
}

} // namespace

std::vector<PartReport>
MakeReports(const State& aState, Instant aNow)
{
  std::vector<PartReport> reports;
  reports.reserve(aState.suspects.size() + aState.suspectedElsewhere.size());
  for (const auto& entry : aState.suspects) {
    reports.push_back(MakeReport(aState, entry.first, entry.second, aNow));
  }
  for (const auto& part : aState.suspectedElsewhere) {
    const auto answeredFor = AnsweredFor(aState, part, aNow);
    if (answeredFor && !aState.suspects.contains(part)) {
      reports.push_back({ .part = part, .answeredFor = answeredFor });
    }
  }
  std::ranges::stable_sort(
    reports, std::ranges::greater{}, [](const auto& aOne) {
      return aOne.crashes.size();
    });
  if (reports.size() > aState.settings.maxReports) {
    reports.resize(aState.settings.maxReports);
  }
  return reports;
}

} // namespace balsampoint::quarantine
