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

} // namespace

std::vector<PartReport>
MakeReports(const State& aState, Instant aNow)
{
  std::vector<PartReport> reports;
  for (const auto& [part, suspect] : aState.suspects) {
    PartReport report{ .part = part,
                       .answeredFor = AnsweredFor(aState, part, aNow),
                       .activeFor = aNow - suspect.activeAt };
    for (const auto& [server, at] : suspect.crashes) {
      report.crashes.push_back({ server, aNow - at });
    }
    reports.push_back(std::move(report));
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
