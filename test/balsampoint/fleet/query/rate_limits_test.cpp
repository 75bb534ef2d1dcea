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
  /** When the servers name other rates, or none. */
  Duration change{ 1h };
  /** These rates. */
  std::vector<std::optional<double>> later{};

  /** @brief Rate that a server names at a time. */
  [[nodiscard]] std::optional<double> NamedAt(std::size_t aServer,
                                              Duration aTime) const
  {
    return aTime < change ? limits[aServer] : later[aServer];
  }

  /** @brief Requests that a server allows in the 4 s before a time; hosts have
   * half a second to follow a change. */
  [[nodiscard]] double Allowed(std::size_t aServer, Duration aTime) const
  {
    constexpr double kUnlimited = 1e9;
    double allowed = 0.0;
    for (auto at = aTime - 4s; at < aTime; at += kStep) {
      const auto named =
        std::max(NamedAt(aServer, at).value_or(kUnlimited),
                 NamedAt(aServer, at - 500ms).value_or(kUnlimited));
      allowed += named * std::chrono::duration<double>(kStep).count();
    }
    return 1.5 * allowed + 5.0;
  }
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

  /** @brief Largest excess of the requests that a server got in 4 s, from hosts
   * that knew its limit, over what it allows; from 3 s after the start. */
  [[nodiscard]] double Excess(std::size_t aServer) const
  {
    double excess = 0.0;
    std::deque<Instant> window;
    for (const auto& arrival : arrivals.at(aServer)) {
      if (!arrival.counted || arrival.at < kStart + 3s) {
        continue;
      }
      window.push_back(arrival.at);
      while (window.front() < arrival.at - 4s) {
        window.pop_front();
      }
      const auto allowed = mLoad.Allowed(aServer, arrival.at - kStart);
      excess = std::max(excess, static_cast<double>(window.size()) - allowed);
    }
    return excess;
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
    const auto limit = mLoad.NamedAt(server, aNow - kStart);
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
    cr_expect_eq(hosts.Excess(at),
                 0.0,
                 "%d hosts, %.0f/s, server %zu: %.1f too many in 4 s",
                 aLoad.hosts,
                 aLoad.demand,
                 at,
                 hosts.Excess(at));
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

// Guards against hosts that keep to an earlier limit.
Test(rate_limits, a_limit_that_falls_is_kept)
{
  ExpectKept({ .hosts = 9,
               .demand = 30.0,
               .limits = { 12.0, 12.0, std::nullopt },
               .change = 10s,
               .later = { 3.0, 1.0, 4.0 } });
  ExpectKept({ .hosts = 295,
               .demand = 100.0,
               .limits = { 20.0, 8.0, 40.0 },
               .change = 10s,
               .later = { 4.0, 0.0, 40.0 } });
}

Test(rate_limits, a_limit_that_rises_is_used)
{
  Hosts hosts{ { .hosts = 58,
                 .demand = 60.0,
                 .limits = { 0.5, 2.0 },
                 .change = 10s,
                 .later = { 16.0, 10.0 } } };
  hosts.Run(24s);
  cr_expect_eq(hosts.Excess(0), 0.0);
  cr_expect_eq(hosts.Excess(1), 0.0);
  cr_expect_geq(hosts.Got(0, 16s), 8 * 16.0 * 0.75, "%d", hosts.Got(0, 16s));
  cr_expect_geq(hosts.Got(1, 16s), 8 * 10.0 * 0.75, "%d", hosts.Got(1, 16s));
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
  Hosts hosts{ { .hosts = 58,
                 .demand = 40.0,
                 .limits = { 0.5, 0.5 },
                 .change = 10s,
                 .later = { std::nullopt, std::nullopt } } };
  hosts.Run(24s);
  cr_expect_geq(hosts.Got(0, 18s) + hosts.Got(1, 18s), 6 * 40.0 * 0.95);
}
