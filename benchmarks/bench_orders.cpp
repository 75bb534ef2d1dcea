#include "fake/isolated_holder.hpp"
#include "report.hpp"

#include <algorithm>

using namespace balsampoint;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kRuns = 100'000;
constexpr std::uint64_t kControlRuns = 2'000;
constexpr Duration kLength = 25s;

struct Totals
{
  std::uint64_t given{};
  std::uint64_t late{};
  std::uint64_t successions{};
};

void
Add(Totals& aTotals, const fake::IsolationResult& aResult)
{
  aTotals.given += aResult.sent[0] + aResult.sent[1];
  aTotals.late += aResult.lateEffects;
  aTotals.successions += aResult.sent[0] > 0 && aResult.sent[1] > 0 ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  bench::Report report{ "orders",
                        { aArguments, static_cast<std::size_t>(aCount) } };
  const auto settings = fake::ShortOrderTimes();
  Totals totals;
  for (std::uint64_t seed = 0; seed < kRuns; ++seed) {
    Add(totals, fake::IsolatedHolder{ seed, settings }.Run(kLength));
  }
  auto hasty = settings;
  hasty.orderLimit = 0s;
  Totals control;
  for (std::uint64_t seed = 0; seed < kControlRuns; ++seed) {
    fake::IsolatedHolder run{ seed, hasty };
    run.SetEngineLimit(settings.orderLimit);
    Add(control, run.Run(kLength));
  }
  report.AtLeast(
    "runs", static_cast<double>(kRuns), "", 100'000, "100,000 runs");
  report.Add("orders given", static_cast<double>(totals.given), "");
  report.Add("runs in which both gave orders",
             static_cast<double>(totals.successions),
             "");
  report.AtMost("old orders that took effect",
                static_cast<double>(totals.late),
                "",
                0,
                "none in 100,000 runs");
  report.AtLeast("found when the silence leaves out the order's time",
                 static_cast<double>(control.late),
                 "",
                 1,
                 "the check can see a late effect");
  return report.Finish();
}
