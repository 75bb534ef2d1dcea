#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/fleet/command/follow_roster.hpp"
#include "balsampoint/fleet/command/record_statement.hpp"
#include "balsampoint/fleet/command/set_remote_usage.hpp"
#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/query/choose_server.hpp"
#include "balsampoint/fleet/query/make_local_usage.hpp"
#include "balsampoint/fleet/query/retry_after.hpp"
#include "balsampoint/usage/module.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace balsampoint;
using namespace balsampoint::fleet;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ 1h };
constexpr Duration kStep = 20ms;
/** Time from a host's report to its sum at the other hosts. */
constexpr Duration kLag = 600ms;
const ServiceId kService{ "desk" };

/** @brief Load on a service of which some servers name a rate. */
struct Load
{
  int hosts{};
  /** Requests per second of all hosts together. */
  double demand{};
  /** Rate of each server; absent for servers without a limit. */
  std::vector<std::optional<double>> limits;
  /** Factor on the demand between 8 s and 12 s. */
  double burst{ 1.0 };
  /** When the limits end. */
  Duration end{ 1h };
};

/** @brief A request that a server got. */
struct Arrival
{
  Instant at{};
  /** Whether its host had been told the limit half a second before. */
  bool counted{ false };
};

/** @brief Entry hosts that share their use of servers through one relay. */
class Hosts
{
public:
  explicit Hosts(const Load& aLoad)
    : mLoad{ aLoad }
    , mRelay{ .settings = { .self = HostId{ "relay" } } }
    , mStates(static_cast<std::size_t>(aLoad.hosts))
    , mTold(mStates.size() * aLoad.limits.size(), Instant::max())
    , arrivals(aLoad.limits.size())
  {
    routing::Document document;
    document.services[kService] = { .id = kService };
    roster::View view;
    for (std::size_t at = 0; at < aLoad.limits.size(); ++at) {
      const auto name = "s" + std::to_string(at);
      view.servers.push_back(
        { .claim = { .server = ServerId{ name },
                     .stamp = { Incarnation{ 1 }, 0 },
                     .description = { .service = kService,
                                      .address = name + ":80",
                                      .slots = 8 } } });
    }
    for (auto& state : mStates) {
      FollowRoster(state, view, document);
    }
  }

  void Run(Duration aTime)
  {
    for (auto now = kStart; now < kStart + aTime; now += kStep) {
      const auto since = now - kStart;
      const bool bursts = since >= 8s && since < 12s;
      const auto rate = mLoad.demand * (bursts ? mLoad.burst : 1.0);
      mDue += rate * std::chrono::duration<double>(kStep).count();
      for (; mDue >= 1.0; mDue -= 1.0) {
        Request(mRandom.Next() % mStates.size(), now);
      }
      if (since % 200ms == Duration{}) {
        Exchange(now);
      }
    }
  }

  /** @brief Most requests that a server got in 4 s from hosts that knew its
   * limit, from 3 s after the start. */
  [[nodiscard]] int MostIn4s(std::size_t aServer) const
  {
    int most = 0;
    std::deque<Instant> window;
    for (const auto& arrival : arrivals.at(aServer)) {
      if (!arrival.counted || arrival.at < kStart + 3s) {
        continue;
      }
      window.push_back(arrival.at);
      while (window.front() < arrival.at - 4s) {
        window.pop_front();
      }
      most = std::max(most, static_cast<int>(window.size()));
    }
    return most;
  }

  [[nodiscard]] int Got(std::size_t aServer, Duration aFrom) const
  {
    return static_cast<int>(
      std::ranges::count_if(arrivals.at(aServer), [&](const Arrival& aOne) {
        return aOne.at >= kStart + aFrom;
      }));
  }

private:
  void Request(std::size_t aHost, Instant aNow)
  {
    auto& state = mStates[aHost];
    ++requests;
    CountChoice(state, kService, aNow);
    const auto hop =
      ChooseServer(state, kService, {}, {}, mRandom.Next(), aNow);
    if (!hop) {
      ++refused;
      cr_assert_gt(RetryAfter(state, kService, aNow), Duration{});
      return;
    }
    CountSend(state, kService, *hop, aNow);
    const auto server =
      static_cast<std::size_t>(std::stoi(hop->server.String().substr(1)));
    auto& told = mTold[aHost * mLoad.limits.size() + server];
    arrivals[server].push_back({ aNow, told < aNow - 500ms });
    const auto limit = aNow < kStart + mLoad.end ? mLoad.limits[server]
                                                 : std::optional<double>{};
    RecordRateLimit(state, kService, *hop, limit, aNow);
    told = limit ? std::min(told, aNow) : Instant::max();
  }

  void Exchange(Instant aNow)
  {
    usage::Actions actions;
    for (std::size_t at = 0; at < mStates.size(); ++at) {
      usage::Module::Handle(
        mRelay,
        usage::Received{ HostId{ std::to_string(at) },
                         MakeLocalUsage(mStates[at], aNow) },
        aNow,
        actions);
    }
    usage::Module::Tick(mRelay, aNow, actions);
    for (auto& action : actions) {
      auto& send = std::get<usage::Send>(action);
      mOnTheWay.push_back({ aNow + kLag,
                            std::stoul(send.to.String()),
                            std::get<usage::RemoteUsage>(send.message) });
    }
    for (; !mOnTheWay.empty() && mOnTheWay.front().at <= aNow;
         mOnTheWay.pop_front()) {
      const auto& message = mOnTheWay.front();
      SetRemoteUsage(mStates[message.to], message.use, aNow);
    }
  }

  struct Message
  {
    Instant at{};
    std::size_t to{};
    usage::RemoteUsage use;
  };

  Load mLoad;
  usage::State mRelay;
  std::vector<State> mStates;
  /** When a host was first told a server's limit. */
  std::vector<Instant> mTold;
  std::deque<Message> mOnTheWay;
  SplitMix64 mRandom{ 7 };
  double mDue{};

public:
  std::vector<std::vector<Arrival>> arrivals;
  int requests{};
  int refused{};
};

void
ExpectKept(const Load& aLoad)
{
  Hosts hosts{ aLoad };
  hosts.Run(24s);
  for (std::size_t at = 0; at < aLoad.limits.size(); ++at) {
    if (!aLoad.limits[at]) {
      continue;
    }
    const auto allowed = 1.5 * 4.0 * *aLoad.limits[at] + 5.0;
    cr_expect_leq(hosts.MostIn4s(at),
                  allowed,
                  "%d hosts, %.0f/s, server %zu: %d in 4 s, allowed %.1f",
                  aLoad.hosts,
                  aLoad.demand,
                  at,
                  hosts.MostIn4s(at),
                  allowed);
  }
}

} // namespace

// Guards against a server that gets far more requests than the rate that it
// names, because each of many hosts keeps the rate by itself.
Test(rate_limits, hosts_together_keep_the_rate_of_a_server)
{
  ExpectKept(
    { .hosts = 9, .demand = 11.0, .limits = { 1.5, 1.8, std::nullopt } });
  ExpectKept({ .hosts = 9, .demand = 90.0, .limits = { 16.0, 15.0, 17.0 } });
  ExpectKept(
    { .hosts = 295, .demand = 60.0, .limits = { 0.4, 3.0, std::nullopt } });
  ExpectKept({ .hosts = 295, .demand = 500.0, .limits = { 20.0, 8.0, 0.0 } });
}

// Guards against hosts that keep to an old demand while it multiplies.
Test(rate_limits, a_burst_keeps_the_rate)
{
  ExpectKept({ .hosts = 9,
               .demand = 11.0,
               .limits = { 1.5, 1.8, std::nullopt },
               .burst = 5.0 });
  ExpectKept({ .hosts = 58,
               .demand = 100.0,
               .limits = { 3.0, 10.0, 2.0 },
               .burst = 4.0 });
}

Test(rate_limits, the_rates_of_all_servers_are_used)
{
  Hosts hosts{ { .hosts = 9, .demand = 30.0, .limits = { 6.0, 10.0 } } };
  hosts.Run(20s);
  cr_expect_geq(hosts.Got(0, 4s), 16 * 6.0 * 0.75, "%d", hosts.Got(0, 4s));
  cr_expect_geq(hosts.Got(1, 4s), 16 * 10.0 * 0.75, "%d", hosts.Got(1, 4s));
}

Test(rate_limits, no_request_is_refused_within_the_rates)
{
  Hosts hosts{ { .hosts = 9, .demand = 12.0, .limits = { 20.0, 10.0 } } };
  hosts.Run(20s);
  cr_expect_eq(hosts.refused, 0);
}

// The next answer without a limit ends it, for hosts too that got no answer.
Test(rate_limits, a_limit_that_is_taken_back_is_forgotten_by_all_hosts)
{
  Hosts hosts{
    { .hosts = 58, .demand = 40.0, .limits = { 0.5, 0.5 }, .end = 10s }
  };
  hosts.Run(24s);
  cr_expect_geq(hosts.Got(0, 18s) + hosts.Got(1, 18s), 6 * 40.0 * 0.95);
}
