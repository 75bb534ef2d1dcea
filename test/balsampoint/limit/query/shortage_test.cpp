#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/limit/command/follow_demand.hpp"
#include "balsampoint/limit/fixture.hpp"
#include "balsampoint/limit/query/append_demand.hpp"
#include "balsampoint/limit/query/levels.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <criterion/criterion.h>
#include <deque>
#include <map>
#include <memory>

using namespace balsampoint;
using namespace balsampoint::limit;
using namespace balsampoint::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 80;
constexpr std::size_t kUrgencies = 3;
constexpr double kCapacity = 1e6;
constexpr double kTokens = 800.0;
/** Time for which a request holds its KV. */
constexpr Duration kHold = 4s;
constexpr Duration kStep = 10ms;
constexpr Duration kReportInterval = 200ms;

/** @brief Requests of one urgency. */
struct Tally
{
  int asked{};
  int served{};
  [[nodiscard]] double Share() const
  {
    return static_cast<double>(served) / std::max(1, asked);
  }
};

/** @brief What one host sends to the others. */
struct Report
{
  Instant at{};
  double kvUsed{};
  std::vector<usage::ServiceUsage> services;
};

/** @brief An entry host on virtual time. */
struct Host
{
  Shortage state{ MakeShortage() };
  bool live{ true };
  /** Whether sums reach it. */
  bool connected{ true };
  double kvUsed{};
  double othersUsed{};
  std::deque<Report> reports;
};

/** @brief Hosts that fill one pool of KV and know each other's use late. */
class World
{
public:
  explicit World(Duration aDelay)
    : mDelay{ aDelay }
  {
  }

  /** @brief Requests per second of all hosts, by urgency. */
  std::array<double, kUrgencies> rates{};
  std::array<Tally, kUrgencies> tallies;
  std::array<Host, kHosts> hosts;

  void Run(Duration aTime)
  {
    const auto end = mNow + aTime;
    while (mNow < end) {
      mNow += kStep;
      Release();
      if (mNow.time_since_epoch() % kReportInterval == Duration{}) {
        Exchange();
      }
      for (std::size_t urgency = 0; urgency < kUrgencies; ++urgency) {
        Arrive(static_cast<Urgency>(urgency));
      }
    }
  }

  [[nodiscard]] double LevelOf(std::size_t aHost, Urgency aUrgency) const
  {
    return limit::LevelOf(hosts.at(aHost).state, kService, aUrgency, mNow)
      .fraction;
  }

  [[nodiscard]] double Fill() const { return mUsed / kCapacity; }

private:
  struct Running
  {
    Instant until;
    std::size_t host{};
  };

  void Release()
  {
    while (!mRunning.empty() && mRunning.front().until <= mNow) {
      // Zero if the host has left meanwhile.
      auto& own = hosts.at(mRunning.front().host).kvUsed;
      own = std::max(0.0, own - kTokens);
      mUsed -= kTokens;
      mRunning.pop_front();
    }
  }

  void Exchange()
  {
    double used = 0.0;
    std::map<Urgency, double> demand;
    std::vector<const Report*> known(kHosts, nullptr);
    for (std::size_t index = 0; index < kHosts; ++index) {
      auto& host = hosts.at(index);
      if (host.live && host.connected) {
        Report report{ .at = mNow, .kvUsed = host.kvUsed };
        AppendDemand(host.state, mNow, report.services);
        host.reports.push_back(std::move(report));
      }
      auto& reports = host.reports;
      while (reports.size() > 1 && reports.at(1).at + mDelay <= mNow) {
        reports.pop_front();
      }
      const bool fresh = !reports.empty() &&
                         reports.front().at + mDelay <= mNow &&
                         mNow - reports.front().at < mDelay + 1s;
      if (fresh) {
        known.at(index) = &reports.front();
        used += reports.front().kvUsed;
        Add(demand, reports.front(), 1.0);
      }
    }
    for (std::size_t index = 0; index < kHosts; ++index) {
      auto& host = hosts.at(index);
      if (!host.live || !host.connected) {
        continue;
      }
      auto others = demand;
      host.othersUsed = used;
      if (const auto* own = known.at(index)) {
        Add(others, *own, -1.0);
        host.othersUsed -= own->kvUsed;
      }
      std::vector<usage::UrgencyDemand> sums;
      for (const auto& [urgency, kvPerSecond] : others) {
        sums.push_back({ urgency, std::max(0.0, kvPerSecond) });
      }
      SetRemoteDemand(host.state, kService, std::move(sums), kCapacity, mNow);
    }
  }

  static void Add(std::map<Urgency, double>& aSum,
                  const Report& aReport,
                  double aSign)
  {
    for (const auto& service : aReport.services) {
      for (const auto& one : service.byUrgency) {
        aSum[one.urgency] += aSign * one.kvPerSecond;
      }
    }
  }

  void Arrive(Urgency aUrgency)
  {
    auto& due = mDue.at(aUrgency);
    due += rates.at(aUrgency) * std::chrono::duration<double>(kStep).count();
    while (due >= 1.0) {
      due -= 1.0;
      Try(aUrgency);
    }
  }

  void Try(Urgency aUrgency)
  {
    std::size_t index = mRandom.Next() % kHosts;
    while (!hosts.at(index).live) {
      index = mRandom.Next() % kHosts;
    }
    auto& host = hosts.at(index);
    auto& tally = tallies.at(aUrgency);
    ++tally.asked;
    CountDemand(host.state, kService, aUrgency, kTokens, mNow);
    const RequestId id{ "q" + std::to_string(++mLast) };
    const auto limit = limit::LevelOf(host.state, kService, aUrgency, mNow);
    const auto level = DrawLevel(host.state.settings, limit, id).fraction;
    const bool seemsFree =
      host.kvUsed + host.othersUsed + kTokens <= kCapacity * level;
    // Servers reject what exceeds their room.
    if (seemsFree && mUsed + kTokens <= kCapacity) {
      ++tally.served;
      mUsed += kTokens;
      host.kvUsed += kTokens;
      mRunning.push_back({ mNow + kHold, index });
    }
  }

  Duration mDelay;
  Instant mNow{ 1h };
  double mUsed{};
  std::array<double, kUrgencies> mDue{};
  std::deque<Running> mRunning;
  SplitMix64 mRandom{ 7 };
  std::uint64_t mLast{};
};

/** Requests per second that fill the pool. */
constexpr double kRoom = kCapacity / kTokens / 4.0;

const std::array kDelays{ Duration{ 400ms }, Duration{ 1s } };

/** @brief Phases of calm, and bursts of the least urgent kind. */
void
RunBursts(World& aWorld)
{
  for (int burst = 0; burst < 4; ++burst) {
    aWorld.rates = { 0.3 * kRoom, 0.15 * kRoom, 0.2 * kRoom };
    aWorld.Run(5s);
    aWorld.rates.at(2) = 2.0 * kRoom;
    aWorld.Run(8s);
  }
}

} // namespace

// Guards against the most urgent kind of request being served worse than the
// least urgent one, and against a least urgent one that is starved.
Test(shortage, bursts_of_the_least_urgent_leave_the_most_urgent_served)
{
  for (const auto delay : kDelays) {
    World world{ delay };
    RunBursts(world);
    const auto& tallies = world.tallies;
    cr_log_info("delay %g s: served %.3f, %.3f, %.3f",
                std::chrono::duration<double>(delay).count(),
                tallies[0].Share(),
                tallies[1].Share(),
                tallies[2].Share());
    cr_assert_geq(tallies[0].Share(), tallies[2].Share());
    cr_assert_geq(tallies[0].Share(), tallies[1].Share());
    const Tally all{ tallies[0].asked + tallies[1].asked + tallies[2].asked,
                     tallies[0].served + tallies[1].served +
                       tallies[2].served };
    cr_assert_geq(tallies[2].Share(), all.Share() / 4);
  }
}

// Guards against levels that have no effect: hosts that see free room late fill
// it together, whatever the levels are.
Test(shortage, levels_serve_the_most_urgent_better_than_none)
{
  for (const auto delay : kDelays) {
    World with{ delay };
    World without{ delay };
    for (auto& host : without.hosts) {
      host.state.settings.minLevel = host.state.settings.maxLevel;
      host.state.settings.maxRamp = 0.0;
    }
    for (auto* world : { &with, &without }) {
      RunBursts(*world);
    }
    cr_log_info("served %.3f with levels, %.3f without",
                with.tallies[0].Share(),
                without.tallies[0].Share());
    cr_assert_gt(with.tallies[0].Share(), without.tallies[0].Share());
    cr_assert_gt(with.tallies[0].Share() - with.tallies[2].Share(),
                 without.tallies[0].Share() - without.tallies[2].Share());
  }
}

// Guards against levels that oscillate because sums arrive late.
Test(shortage, levels_settle_under_a_constant_load)
{
  for (const auto delay : kDelays) {
    World world{ delay };
    world.rates = { 0.3 * kRoom, 0.15 * kRoom, 2.0 * kRoom };
    world.Run(15s);
    double lowest = 1.0;
    double highest = 0.0;
    for (int step = 0; step < 100; ++step) {
      world.Run(100ms);
      for (const std::size_t host : { 0U, 40U, 79U }) {
        lowest = std::min(lowest, world.LevelOf(host, 2));
        highest = std::max(highest, world.LevelOf(host, 2));
      }
    }
    cr_log_info("levels from %.4f to %.4f", lowest, highest);
    cr_assert_lt(highest - lowest, 0.02);
    // A second's arrivals of the more urgent, of a room of four seconds.
    const auto expected = 0.95 - 0.45 / 4.0;
    cr_assert(expected - 0.01 < lowest && highest < expected + 0.01);
  }
}

// Guards against levels that go astray when hosts join, leave or are cut off.
Test(shortage, levels_bear_hosts_that_join_leave_and_are_cut_off)
{
  for (const auto delay : kDelays) {
    World world{ delay };
    const auto setHalf = [&](auto aSet) {
      for (std::size_t index = 0; index < kHosts; index += 2) {
        aSet(world.hosts.at(index));
      }
    };
    world.rates = { 0.3 * kRoom, 0.15 * kRoom, 2.0 * kRoom };
    setHalf([](Host& aHost) { aHost.live = false; });
    world.Run(8s);
    setHalf([](Host& aHost) { aHost = {}; });
    world.Run(8s);
    setHalf([](Host& aHost) { aHost.live = false; });
    world.Run(8s);
    setHalf([](Host& aHost) { aHost = {}; });
    world.Run(8s);
    cr_assert(std::abs(world.LevelOf(0, 2) - world.LevelOf(1, 2)) < 0.02);
    const auto& tallies = world.tallies;
    cr_log_info("served %.3f, %.3f, %.3f",
                tallies[0].Share(),
                tallies[1].Share(),
                tallies[2].Share());
    cr_assert_geq(tallies[0].Share(), tallies[2].Share());
    cr_assert_geq(tallies[2].Share(), tallies[0].Share() / 4);
    // A host that is cut off admits by what it knows itself.
    world.hosts.at(5).connected = false;
    world.Run(2s);
    cr_assert_eq(world.LevelOf(5, 2), 0.95);
    world.hosts.at(5).connected = true;
    world.Run(1s);
    cr_assert(std::abs(world.LevelOf(5, 2) - world.LevelOf(6, 2)) < 0.02);
  }
}
