#include "balsampoint/quarantine/command/merge_reports.hpp"

#include "balsampoint/quarantine/internal/judge.hpp"

#include <algorithm>

namespace balsampoint::quarantine {

namespace {

/** @brief When an answer was last written, as far as it is known here. */
Instant
LastAnswer(const State& aState, const SuspectId& aId)
{
  if (aId.kind == SuspectKind::Request) {
    return aState.answeredRequests.LastAnswer(aId).value_or(Instant::min());
  }
  const auto answered = aState.answered.find(aId);
  return answered == aState.answered.end() ? Instant::min()
                                           : answered->second.anywhere;
}

void
MergeCrashes(State& aState, const SuspectReport& aReport, Instant aNow)
{
  const auto margin = aState.settings.reportMargin;
  if (aReport.crashes.empty() ||
      aReport.activeFor + margin > aState.settings.retention) {
    return;
  }
  const auto answeredAt = LastAnswer(aState, aReport.suspect);
  auto& suspect = aState.suspects[aReport.suspect];
  suspect.answersBegan = suspect.answersBegan && aReport.answersBegan;
  suspect.cameAgain = suspect.cameAgain || aReport.cameAgain;
  for (const auto& crash : aReport.crashes) {
    const auto at = aNow - crash.age;
    if (at <= answeredAt) {
      continue;
    }
    const auto [known, added] = suspect.crashes.try_emplace(crash.server, at);
    if (added) {
      suspect.doubtedUntil =
        std::max(suspect.doubtedUntil, internal::DoubtEnd(aState, at));
    }
    // A report takes some time, so the earliest estimate is the best.
    known->second = std::min(known->second, at);
  }
  suspect.activeAt =
    std::max(suspect.activeAt, aNow - aReport.activeFor - margin);
  if (suspect.crashes.empty()) {
    aState.suspects.erase(aReport.suspect);
  }
}

void
MergeAnswer(State& aState, const SuspectId& aId, Instant aAt)
{
  if (aId.kind == SuspectKind::PromptPart) {
    internal::RecordPartAnswer(aState, aId, aAt);
  } else if (aAt > LastAnswer(aState, aId)) {
    internal::Clear(aState, aId, aAt);
    aState.answeredRequests.Record(aId, aAt);
  }
}

} // namespace

void
MergeReports(State& aState,
             std::span<const SuspectReport> aReports,
             Instant aNow)
{
  aState.suspectedElsewhere.clear();
  for (const auto& report : aReports) {
    if (report.answeredFor) {
      MergeAnswer(aState, report.suspect, aNow - *report.answeredFor);
    }
    MergeCrashes(aState, report, aNow);
    aState.suspectedElsewhere.insert(report.suspect);
  }
  if (!aState.suspects.empty() || !aState.verdicts.empty()) {
    internal::Judge(aState, aNow);
  }
}

} // namespace balsampoint::quarantine
