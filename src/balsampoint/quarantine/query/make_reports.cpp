#include "balsampoint/quarantine/query/make_reports.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::quarantine {

namespace {

/** Time between two reports of a host. */
constexpr Duration kReportInterval = std::chrono::milliseconds{ 200 };

std::optional<Duration>
AnsweredFor(const State& aState, const SuspectId& aId, Instant aNow)
{
  if (aId.kind == SuspectKind::Request) {
    const auto at = aState.answeredRequests.LastAnswer(aId);
    return at ? std::optional{ aNow - *at } : std::nullopt;
  }
  const auto found = aState.answered.find(aId);
  if (found == aState.answered.end() || found->second.here == Instant::min()) {
    return std::nullopt;
  }
  return aNow - found->second.here;
}

SuspectReport
MakeReport(const State& aState,
           const SuspectId& aId,
           const Suspect& aSuspect,
           Instant aNow)
{
  SuspectReport report{ .suspect = aId,
                        .answeredFor = AnsweredFor(aState, aId, aNow),
                        .activeFor = aNow - aSuspect.activeAt,
                        .cameAgain = aSuspect.cameAgain,
                        .answersBegan = aSuspect.answersBegan };
  report.crashes.reserve(aSuspect.crashes.size());
  for (const auto& crash : aSuspect.crashes) {
    report.crashes.push_back({ crash.first, aNow - crash.second });
  }
  return report;
}

/** @brief Whether the others need to know: of weak evidence against requests
 * only for a while, since no answer may ever clear them. */
bool
IsWorthReporting(const State& aState,
                 const SuspectId& aId,
                 const Suspect& aSuspect,
                 Instant aNow)
{
  if (aId.kind == SuspectKind::PromptPart) {
    return true;
  }
  const auto& settings = aState.settings;
  const auto crashes = aSuspect.crashes.size();
  const bool isNew =
    std::ranges::any_of(aSuspect.crashes, [&](const auto& aCrash) {
      return aNow - aCrash.second < settings.reportTime;
    });
  if (aSuspect.answersBegan) {
    return crashes >= settings.crashesOfAnswered || (crashes > 1 && isNew);
  }
  return crashes > 1 || aSuspect.cameAgain || isNew;
}

/** @brief Keeps the bound; of those with one crash each report has others. */
void
Bound(std::vector<SuspectReport>& aReports,
      const Settings& aSettings,
      Instant aNow)
{
  std::ranges::stable_sort(
    aReports, std::ranges::greater{}, [](const auto& aOne) {
      return aOne.crashes.size();
    });
  if (aReports.size() <= aSettings.maxReports) {
    return;
  }
  const auto weak = std::ranges::find_if(
    aReports, [](const auto& aOne) { return aOne.crashes.size() < 2; });
  const auto strong = static_cast<std::size_t>(weak - aReports.begin());
  if (strong < aSettings.maxReports) {
    const auto turn =
      static_cast<std::size_t>(aNow.time_since_epoch() / kReportInterval);
    const auto places = aSettings.maxReports - strong;
    std::rotate(weak,
                weak + static_cast<std::ptrdiff_t>(turn * places %
                                                   (aReports.size() - strong)),
                aReports.end());
  }
  aReports.resize(aSettings.maxReports);
}

} // namespace

std::vector<SuspectReport>
MakeReports(const State& aState, Instant aNow)
{
  std::vector<SuspectReport> reports;
  reports.reserve(aState.suspects.size() + aState.suspectedElsewhere.size());
  for (const auto& [id, suspect] : aState.suspects) {
    if (IsWorthReporting(aState, id, suspect, aNow)) {
      reports.push_back(MakeReport(aState, id, suspect, aNow));
    }
  }
  for (const auto& id : aState.suspectedElsewhere) {
    const auto answeredFor = AnsweredFor(aState, id, aNow);
    if (answeredFor && !aState.suspects.contains(id)) {
      reports.push_back({ .suspect = id, .answeredFor = answeredFor });
    }
  }
  Bound(reports, aState.settings, aNow);
  return reports;
}

} // namespace balsampoint::quarantine
