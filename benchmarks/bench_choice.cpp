#include "choice_simulation.hpp"
#include "report.hpp"

#include <string>
#include <vector>

namespace {

using namespace balsampoint;
using namespace balsampoint::bench;

constexpr double kWarmUp = 10.0;
constexpr double kEnd = 25.0;
/** Requests per second of the larger deployment, and half of them. */
constexpr double kHeavy = 310.0;
constexpr double kCalm = 155.0;
constexpr double kUsualDelay = 0.4;
constexpr double kLongDelay = 1.0;

/** What the hosts do now. */
ChoiceRule
Built()
{
  const fleet::Settings settings;
  return { .name = "built",
           .spread = settings.spread,
           .fullSpread = settings.fullSpread,
           .answerFraction = settings.answerFraction };
}

/** What was weighed against it. */
std::vector<ChoiceRule>
Others()
{
  return { { .name = "weight 0", .spread = 0.0 },
           { .name = "weight 0.3 (before)" },
           { .name = "weight 0.6", .spread = 0.6 },
           { .name = "weight 1", .spread = 1.0 },
           { .name = "weight 3", .spread = 3.0 },
           { .name = "best 3 by room", .draws = 3 },
           { .name = "extrapolated 0.5", .extrapolation = 0.5 },
           { .name = "extrapolated 1", .extrapolation = 1.0 },
           { .name = "derivative -0.5", .extrapolation = -0.5 },
           { .name = "shares of room", .shares = 1.0 },
           { .name = "half shares", .shares = 0.5 },
           { .name = "others send 0.3", .othersLikeOwn = 0.3 },
           { .name = "others send 1", .othersLikeOwn = 1.0 },
           { .name = "answer 0.5", .answerFraction = 0.5 },
           { .name = "answer 1", .answerFraction = 1.0 } };
}

std::string
Label(const ChoiceRule& aRule, const ChoiceLoad& aLoad)
{
  const auto tenths = static_cast<int>(aLoad.delay * 10.0 + 0.5);
  return aRule.name + ", " + std::to_string(aLoad.hosts) + " hosts, " +
         (aLoad.rate == kCalm ? "calm" : "heavy") + ", " +
         std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) +
         " s late";
}

/** Only what the hosts do now has to keep to the bounds. */
void
Measure(Report& aReport,
        const ChoiceRule& aRule,
        const ChoiceLoad& aLoad,
        bool aBounds)
{
  constexpr double kPercent = 100.0;
  constexpr double kCalmRatio = 1.5;
  constexpr double kHeavyRatio = 2.0;
  const auto figures = ChoiceSimulation{ aRule, aLoad }.Run(kWarmUp, kEnd);
  const auto label = Label(aRule, aLoad) + ": ";
  const auto sent = std::max(1.0, figures.sent);
  const auto arrivals = std::max(1.0, figures.arrivals);
  aReport.Add(label + "rejected", kPercent * figures.rejected / sent, "%");
  aReport.Add(label + "no chain", kPercent * figures.refused / arrivals, "%");
  aReport.Add(label + "lost KV", kPercent * figures.lost / arrivals, "%");
  aReport.Add(label + "served", figures.served / (kEnd - kWarmUp), "req/s");
  if (aBounds) {
    aReport.AtMost(label + "busiest over mean",
                   figures.busiest,
                   "",
                   aLoad.rate == kCalm ? kCalmRatio : kHeavyRatio,
                   "goal of 1.5 on calm, 2 on heavy load");
  } else {
    aReport.Add(label + "busiest over mean", figures.busiest, "");
  }
  aReport.Add(label + "event", figures.eventMs, "ms");
  aReport.Add(label + "first event", figures.firstMs, "ms");
  aReport.Add(label + "predicted first", figures.predictedFirstMs, "ms");
  aReport.Add(label + "choice", figures.microseconds, "us");
}

void
MeasureAll(Report& aReport)
{
  const ChoiceRule before{ .name = "weight 0.3 (before)" };
  for (const auto rate : { kCalm, kHeavy }) {
    // Without delay hosts see each other's work at once: what is left is not
    // due to late reports.
    for (const auto delay : { 0.0, 0.2 }) {
      Measure(aReport, before, { .rate = rate, .delay = delay }, false);
    }
    for (const auto delay : { 0.0, 0.2, kUsualDelay, kLongDelay }) {
      Measure(aReport, Built(), { .rate = rate, .delay = delay }, true);
    }
    for (const auto& rule : Others()) {
      for (const auto delay : { kUsualDelay, kLongDelay }) {
        Measure(aReport, rule, { .rate = rate, .delay = delay }, false);
      }
    }
    for (const std::size_t hosts : { 33, 300 }) {
      Measure(aReport, before, { .hosts = hosts, .rate = rate }, false);
      Measure(aReport, Built(), { .hosts = hosts, .rate = rate }, true);
    }
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Report report{ "choice", { aArguments, static_cast<std::size_t>(aCount) } };
  MeasureAll(report);
  return report.Finish();
}
