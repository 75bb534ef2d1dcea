#include "balsampoint/limit/module.hpp"
#include "balsampoint/retry/may_retry.hpp"
#include "balsampoint/retry/module.hpp"
#include "fake/random.hpp"
#include "report.hpp"
#include "timing.hpp"

#include <array>
#include <cmath>
#include <string>

namespace {

using namespace balsampoint;
using namespace std::chrono_literals;

constexpr std::uint32_t kSlots = 64;
constexpr Duration kHold = 100ms;
constexpr Duration kPatience = 1s;
constexpr Duration kLength = 60s;
constexpr int kLightWorkspaces = 9;

/** @brief What became of the requests of one run. */
struct Result
{
  double heavyArrived{};
  double lightArrived{};
  double heavyGood{};
  double lightGood{};
};

/** @brief Random time of an exponential distribution. */
Duration
Draw(fake::Random& aRandom, double aMeanSeconds)
{
  constexpr double kScale = 1.0 / 18446744073709551616.0;
  const double uniform = (static_cast<double>(aRandom.Next()) + 1.0) * kScale;
  return Duration{ static_cast<Duration::rep>(-std::log(uniform) *
                                              aMeanSeconds * 1e9) };
}

/** @brief One host under open-loop load on virtual time. */
class Load
{
public:
  Load(bool aLimited, double aHeavyRate, double aLightRate)
    : mLimited{ aLimited }
    , mRates{ aHeavyRate, aLightRate }
  {
    mState.settings.slots = kSlots;
    mState.settings.initialHoldTime = kHold;
    if (!aLimited) {
      mState.settings.maxWaiting = mState.settings.maxWaitingPerWorkspace =
        100'000'000;
    }
  }

  Result Run()
  {
    mArrivals.emplace(Instant{}, true);
    mArrivals.emplace(Instant{}, false);
    while (!mArrivals.empty() || !mEnds.empty()) {
      Step();
    }
    return mResult;
  }

private:
  struct Request
  {
    Instant deadline{};
    bool heavy{};
  };

  void Step()
  {
    const auto arrival = mArrivals.empty() ? kNever : mArrivals.begin()->first;
    const auto end = mEnds.empty() ? kNever : mEnds.begin()->first;
    const auto due = limit::Module::NextDeadline(mState);
    mNow = std::min({ arrival, end, due });
    std::vector<limit::Action> actions;
    if (mNow == due) {
      limit::Module::Tick(mState, mNow, actions);
    } else if (mNow == end) {
      End(actions);
    } else {
      Arrive(actions);
    }
    CarryOut(actions);
  }

  void End(std::vector<limit::Action>& aActions)
  {
    const auto ticket = mEnds.begin()->second;
    mEnds.erase(mEnds.begin());
    const auto request = mRequests.extract(ticket).mapped();
    if (mNow <= request.deadline) {
      (request.heavy ? mResult.heavyGood : mResult.lightGood) += 1;
    }
    limit::Module::Handle(mState, limit::Ended{ ticket }, mNow, aActions);
  }

  void Arrive(std::vector<limit::Action>& aActions)
  {
    const bool heavy = mArrivals.begin()->second;
    mArrivals.erase(mArrivals.begin());
    const auto next = mNow + Draw(mRandom, 1.0 / mRates[heavy ? 0 : 1]);
    if (next < Instant{ kLength }) {
      mArrivals.emplace(next, heavy);
    }
    (heavy ? mResult.heavyArrived : mResult.lightArrived) += 1;
    const Ticket ticket{ ++mLast };
    const auto deadline = mNow + kPatience;
    mRequests[ticket] = { .deadline = deadline, .heavy = heavy };
    // Without admission all requests share one queue in order of arrival.
    const auto workspace =
      !mLimited || heavy
        ? std::string{ "heavy" }
        : "light" + std::to_string(mRandom.Next() % kLightWorkspaces);
    limit::Module::Handle(
      mState,
      limit::Arrived{ .ticket = ticket,
                      .workspace = WorkspaceId{ workspace },
                      .deadline = mLimited ? deadline : kNever,
                      .predictedFirstOutput = mLimited ? kHold : Duration{} },
      mNow,
      aActions);
  }

  void CarryOut(const std::vector<limit::Action>& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* admitted = std::get_if<limit::Admitted>(&action)) {
        mEnds.emplace(mNow + Draw(mRandom, kHold.count() / 1e9),
                      admitted->ticket);
      } else {
        mRequests.erase(std::get<limit::Refused>(action).ticket);
      }
    }
  }

  bool mLimited;
  std::array<double, 2> mRates;
  limit::State mState;
  fake::Random mRandom{ 20261204 };
  std::multimap<Instant, bool> mArrivals;
  std::multimap<Instant, Ticket> mEnds;
  std::map<Ticket, Request> mRequests;
  Result mResult;
  Instant mNow{};
  std::uint64_t mLast{};
};

double
Capacity()
{
  return kSlots * 1e9 / static_cast<double>(kHold.count()) *
         std::chrono::duration<double>(kLength).count();
}

void
Goodput(bench::Report& aReport)
{
  const double rate =
    Capacity() / std::chrono::duration<double>(kLength).count();
  for (const int times : { 1, 2, 10 }) {
    const auto name = std::to_string(times) + "x load: ";
    const auto half = rate * times / 2;
    for (const bool limited : { false, true }) {
      const auto result = Load{ limited, half, half }.Run();
      const auto goodput = (result.heavyGood + result.lightGood) / Capacity();
      if (limited) {
        aReport.AtLeast(name + "goodput",
                        goodput,
                        "of capacity",
                        0.9,
                        "overload costs no more than a tenth of the capacity");
      } else {
        aReport.Add(name + "goodput, one queue", goodput, "of capacity");
      }
    }
  }
}

void
Fairness(bench::Report& aReport)
{
  const double rate =
    Capacity() / std::chrono::duration<double>(kLength).count();
  // Nine workspaces ask for four fifths of what is theirs, one for ten times
  // the whole capacity.
  constexpr double kAsked = 0.9 * 0.8;
  const auto result = Load{ true, rate * 10, rate * kAsked }.Run();
  aReport.AtLeast("light workspaces beside a heavy one: served in time",
                  result.lightGood / result.lightArrived,
                  "of requests",
                  0.99,
                  "one heavy workspace can't push another past its share");
  const auto alone = Load{ false, rate * 10, rate * kAsked }.Run();
  aReport.Add("light workspaces beside a heavy one, one queue",
              alone.lightGood / alone.lightArrived,
              "of requests");
}

retry::State
OutagePool()
{
  registry::View view;
  for (int at = 0; at < 9; ++at) {
    registry::Server server;
    server.announcement.server = ServerId{ "s" + std::to_string(at) };
    server.announcement.kind = registry::ServerKind::PlainService;
    server.announcement.service = ServiceId{ "desk" };
    view.servers.push_back(server);
  }
  retry::State state;
  std::vector<retry::Action> actions;
  retry::Module::Handle(
    state,
    retry::ServersChanged{ std::make_shared<const registry::View>(view) },
    Instant{},
    actions);
  return state;
}

/** @brief Attempts that the servers see for each call while all of them fail.
 */
double
Amplification()
{
  constexpr int kCalls = 6000;
  constexpr int kWorkspaces = 10;
  constexpr Duration kGap = 10ms;
  auto state = OutagePool();
  Instant now{};
  int attempts = 0;
  for (int call = 0; call < kCalls; ++call) {
    now += kGap;
    retry::AttemptRequested wanted{ .ticket = Ticket{ 1 },
                                    .workspace = WorkspaceId{ std::to_string(
                                      call % kWorkspaces) },
                                    .service = ServiceId{ "desk" },
                                    .deadline = now + kPatience };
    while (true) {
      std::vector<retry::Action> actions;
      retry::Module::Handle(state, wanted, now, actions);
      if (actions.empty()) {
        retry::Module::Tick(state, retry::Module::NextDeadline(state), actions);
      }
      const auto* granted = std::get_if<retry::AttemptGranted>(&actions.back());
      if (granted == nullptr) {
        break;
      }
      ++attempts;
      ++wanted.attempts;
      wanted.failed.push_back(granted->server);
      std::vector<retry::Action> none;
      retry::Module::Handle(
        state,
        retry::AttemptEnded{ .server = granted->server,
                             .workspace = wanted.workspace,
                             .result = retry::AttemptResult::Broken },
        now,
        none);
      if (!retry::MayRetry(
            retry::AttemptResult::Broken, wanted.attempts, true)) {
        break;
      }
    }
  }
  return static_cast<double>(attempts) / kCalls;
}

void
RefusalCost(bench::Report& aReport)
{
  constexpr int kRefusals = 20'000;
  limit::State state;
  state.settings.slots = 1;
  std::uint64_t ticket = 0;
  std::vector<limit::Action> actions;
  const auto arrive = [&](Instant aDeadline) {
    actions.clear();
    limit::Module::Handle(
      state,
      limit::Arrived{ .ticket = Ticket{ ++ticket },
                      .workspace =
                        WorkspaceId{ "w" + std::to_string(ticket % 1200) },
                      .deadline = aDeadline },
      Instant{},
      actions);
  };
  for (int at = 0; at < 1000; ++at) {
    arrive(kNever);
  }
  const auto seconds = bench::MedianSeconds(3, [&] {
    for (int at = 0; at < kRefusals; ++at) {
      arrive(Instant{ 1ms });
    }
  });
  aReport.AtMost("refusal with 1,200 workspaces in use",
                 seconds / kRefusals * 1e6,
                 "us",
                 100,
                 "ten times the mean load of a host, 61 refusals/s, within "
                 "a fifth of 3 % of a core");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  bench::Report report{ "overload",
                        { aArguments, static_cast<std::size_t>(aCount) } };
  Goodput(report);
  Fairness(report);
  report.AtMost("attempts for each call in a full outage",
                Amplification(),
                "",
                1.1,
                "retry amplification in a full outage");
  report.Add(
    "the same with three attempts and no budget", retry::kMaxAttempts, "");
  RefusalCost(report);
  return report.Finish();
}
