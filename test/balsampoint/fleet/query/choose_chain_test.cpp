#include "balsampoint/fleet/query/choose_chain.hpp"

#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/fixture.hpp"

#include <criterion/criterion.h>
#include <map>

using namespace balsampoint;
using namespace balsampoint::fleet;
using namespace balsampoint::test;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 1h };
constexpr std::uint32_t kLayers = 8;

const ServiceId kService{ "verse" };

Demand
SmallDemand()
{
  return { .service = kService, .promptTokens = 100.0, .answerTokens = 40.0 };
}

} // namespace

Test(choose_chain, stays_within_a_zone)
{
  const auto state = MakeFleet({ MakeEngine("a1", "a", { 0, 4 }),
                                 MakeEngine("a2", "a", { 4, 8 }, "slow"),
                                 MakeEngine("b2", "b", { 4, 8 }) });
  const auto chain = ChooseChain(state, SmallDemand(), kNow);
  cr_assert(chain.has_value());
  cr_assert_eq(chain->hops.back().server, ServerId{ "a2" });
}

Test(choose_chain, crosses_to_another_zone_rather_than_refuse)
{
  const auto state = MakeFleet(
    { MakeEngine("a1", "a", { 0, 4 }), MakeEngine("b2", "b", { 4, 8 }) });
  cr_assert(ChooseChain(state, SmallDemand(), kNow).has_value());
}

Test(choose_chain, enters_a_server_at_any_layer_that_it_holds)
{
  const auto state = MakeFleet(
    { MakeEngine("a1", "a", { 0, 5 }), MakeEngine("a2", "a", { 3, 8 }) });
  const auto chain = ChooseChain(state, SmallDemand(), kNow);
  cr_assert(chain.has_value());
  cr_assert(RunsEveryLayer(chain->hops, kLayers));
}

Test(choose_chain, refuses_where_a_layer_is_held_by_no_server)
{
  const auto state = MakeFleet(
    { MakeEngine("a1", "a", { 0, 4 }), MakeEngine("a2", "a", { 5, 8 }) });
  const auto chain = ChooseChain(state, SmallDemand(), kNow);
  cr_assert_not(chain.has_value());
  cr_assert_eq(chain.error().kind, ErrorKind::NoServer);
}

// Guards against a chain without hops, at which callers of a chain crash.
Test(choose_chain, refuses_a_model_without_layers)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, 4 }) });
  state.groups.at(kService).engine->layers = 0;
  const auto chain = ChooseChain(state, SmallDemand(), kNow);
  cr_assert_not(chain.has_value());
  cr_assert_eq(chain.error().kind, ErrorKind::NoServer);
}

Test(choose_chain, counts_the_work_of_other_hosts)
{
  auto state = MakeFleet(
    { MakeEngine("a1", "a", { 0, 8 }), MakeEngine("a2", "a", { 0, 8 }) });
  auto& servers = state.groups.at(kService).servers;
  servers.at(ServerId{ "a1" }).remoteWork.passing = 6;
  const auto chain = ChooseChain(state, SmallDemand(), kNow);
  cr_assert_eq(chain->hops.front().server, ServerId{ "a2" });
  servers.at(ServerId{ "a2" }).remoteWork.kv =
    servers.at(ServerId{ "a2" }).kvCapacity;
  const auto other = ChooseChain(state, SmallDemand(), kNow);
  cr_assert_eq(other->hops.front().server, ServerId{ "a1" });
}

Test(choose_chain, starts_only_at_allowed_receivers)
{
  const auto state = MakeFleet(
    { MakeEngine("a1", "a", { 0, 8 }), MakeEngine("a2", "a", { 0, 8 }) });
  auto demand = SmallDemand();
  demand.receivers = { ServerId{ "a2" } };
  const auto chain = ChooseChain(state, demand, kNow);
  cr_assert_eq(chain->hops.front().server, ServerId{ "a2" });
}

Test(choose_chain, avoids_faulty_servers_for_a_while)
{
  auto state = MakeFleet(
    { MakeEngine("a1", "a", { 0, 8 }), MakeEngine("a2", "a", { 0, 8 }) });
  RecordOutcome(state, kService, "a1:80", RequestOutcome::Unreachable, kNow);
  const auto chain = ChooseChain(state, SmallDemand(), kNow + 100ms);
  cr_assert_eq(chain->hops.front().server, ServerId{ "a2" });
  const auto& server = state.groups.at(kService).servers.at(ServerId{ "a1" });
  cr_assert(server.Avoided(kNow + 500ms - 1ns));
}

Test(choose_chain, one_broken_answer_does_not_exclude_a_server)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, 8 }),
                           MakeEngine("a2", "a", { 0, 8 }, "slow") });
  const auto chosen = [&] {
    return ChooseChain(state, SmallDemand(), kNow + 1ms)->hops.front().server;
  };
  RecordOutcome(state, kService, "a1:80", RequestOutcome::Broken, kNow);
  cr_assert_eq(chosen(), ServerId{ "a1" });
  RecordOutcome(state, kService, "a1:80", RequestOutcome::Broken, kNow);
  RecordOutcome(state, kService, "a1:80", RequestOutcome::Broken, kNow);
  cr_assert_eq(chosen(), ServerId{ "a2" });
}

Test(choose_chain, every_chain_runs_every_layer_once_and_in_order)
{
  SplitMix64 random{ 11 };
  for (int round = 0; round < 2000; ++round) {
    std::vector<roster::Server> servers;
    for (int at = 0; at < 12; ++at) {
      const auto begin = static_cast<std::uint32_t>(random.Next() % kLayers);
      const auto most = kLayers - begin;
      const auto end =
        begin + 1 + static_cast<std::uint32_t>(random.Next() % most);
      servers.push_back(MakeEngine("s" + std::to_string(at),
                                   random.Next() % 2 == 0 ? "a" : "b",
                                   { begin, end },
                                   random.Next() % 3 == 0 ? "slow" : "fast"));
    }
    auto state = MakeFleet(std::move(servers));
    for (auto& [id, server] : state.groups.at(kService).servers) {
      server.remoteWork.passing =
        static_cast<std::uint32_t>(random.Next() % 50);
    }
    const auto chain = ChooseChain(state, SmallDemand(), kNow);
    if (chain) {
      cr_assert(RunsEveryLayer(chain->hops, kLayers), "round %d", round);
    }
  }
}

Test(choose_chain, a_refusal_names_the_layer_that_no_server_holds)
{
  const auto state = MakeFleet(
    { MakeEngine("a1", "a", { 0, 3 }), MakeEngine("a2", "a", { 5, 8 }) });
  const auto chain = ChooseChain(state, SmallDemand(), kNow);
  cr_assert_not(chain.has_value());
  cr_assert_eq(chain.error().detail, "no server can run layer 3");
}

Test(choose_chain, a_refusal_names_the_layer_whose_servers_are_full)
{
  auto state = MakeFleet(
    { MakeEngine("a1", "a", { 0, 4 }), MakeEngine("a2", "a", { 4, 8 }) });
  auto& full = state.groups.at(kService).servers.at(ServerId{ "a2" });
  full.remoteWork.kv = full.kvCapacity;
  const auto chain = ChooseChain(state, SmallDemand(), kNow);
  cr_assert_not(chain.has_value());
  cr_assert_eq(chain.error().detail, "no server can run layer 4; 1 full");
}

Test(choose_chain, kv_is_reserved_for_part_of_the_expected_answer)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, kLayers }) });
  auto& server = state.groups.at(kService).servers.at(ServerId{ "a1" });
  const auto wanted = SmallDemand();
  const auto whole = wanted.promptTokens + wanted.answerTokens;
  server.remoteWork.kv = server.kvCapacity * state.settings.maxKvFraction -
                         (whole - wanted.answerTokens / 2) * kLayers;
  cr_assert(ChooseChain(state, wanted, kNow).has_value());
  server.remoteWork.kv += wanted.answerTokens / 2 * kLayers;
  cr_assert_not(ChooseChain(state, wanted, kNow).has_value());
}

Test(choose_chain, an_event_makes_an_unreachable_server_usable_again)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, kLayers }) });
  const auto chain = ChooseChain(state, SmallDemand(), kNow);
  for (int times = 0; times < 4; ++times) {
    RecordOutcome(state, kService, "a1:80", RequestOutcome::Unreachable, kNow);
  }
  cr_assert_not(ChooseChain(state, SmallDemand(), kNow + 1ms).has_value());
  Reservation none;
  RecordEvent(state, kService, chain->hops, none, {}, kNow + 2ms);
  cr_assert(ChooseChain(state, SmallDemand(), kNow + 3ms).has_value());
}

Test(choose_chain, an_event_does_not_end_the_avoidance_after_broken_answers)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, kLayers }),
                           MakeEngine("a2", "a", { 0, kLayers }, "slow") });
  const auto chain = ChooseChain(state, SmallDemand(), kNow);
  cr_assert_eq(chain->hops.front().server, ServerId{ "a1" });
  for (int times = 0; times < 4; ++times) {
    RecordOutcome(state, kService, "a1:80", RequestOutcome::Broken, kNow);
  }
  Reservation none;
  RecordEvent(state, kService, chain->hops, none, {}, kNow + 2ms);
  const auto next = ChooseChain(state, SmallDemand(), kNow + 3ms);
  cr_assert_eq(next->hops.front().server, ServerId{ "a2" });
}

Test(choose_chain, a_server_with_broken_answers_is_a_last_resort)
{
  auto state = MakeFleet(
    { MakeEngine("a1", "a", { 0, 4 }), MakeEngine("a2", "a", { 4, 8 }) });
  for (int times = 0; times < 4; ++times) {
    RecordOutcome(state, kService, "a2:80", RequestOutcome::Broken, kNow);
  }
  cr_assert(ChooseChain(state, SmallDemand(), kNow + 1ms).has_value());
  RecordOutcome(state, kService, "a2:80", RequestOutcome::Full, kNow);
  cr_assert_not(ChooseChain(state, SmallDemand(), kNow + 1ms).has_value());
}

Test(choose_chain, spreads_choices_of_hosts_that_know_the_same)
{
  const auto state = MakeFleet({ MakeEngine("a1", "a", { 0, 8 }),
                                 MakeEngine("a2", "a", { 0, 8 }),
                                 MakeEngine("a3", "a", { 0, 8 }),
                                 MakeEngine("a4", "a", { 0, 8 }) });
  constexpr int kHosts = 400;
  std::map<ServerId, int> chosen;
  SplitMix64 random{ 5 };
  for (int host = 0; host < kHosts; ++host) {
    auto demand = SmallDemand();
    demand.randomSample = random.Next();
    ++chosen[ChooseChain(state, demand, kNow)->hops.front().server];
  }
  cr_assert_eq(chosen.size(), 4);
  for (const auto& [server, times] : chosen) {
    cr_assert_gt(times, kHosts / 8, "%s", server.Value().data());
  }
}

Test(choose_chain, prefers_a_much_faster_server_for_every_sample)
{
  const auto state = MakeFleet({ MakeEngine("a1", "a", { 0, 8 }),
                                 MakeEngine("a2", "a", { 0, 8 }, "slow") });
  SplitMix64 random{ 6 };
  for (int round = 0; round < 100; ++round) {
    auto demand = SmallDemand();
    demand.randomSample = random.Next();
    const auto chain = ChooseChain(state, demand, kNow);
    cr_assert_eq(chain->hops.front().server, ServerId{ "a1" });
  }
}

// Guards against hosts that all see the same room on a nearly full server and
// fill it at once before their reports arrive.
Test(choose_chain, few_hosts_at_once_choose_a_fuller_server)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, 8 }),
                           MakeEngine("a2", "a", { 0, 8 }),
                           MakeEngine("a3", "a", { 0, 8 }),
                           MakeEngine("a4", "a", { 0, 8 }) });
  state.settings.spread = 0.3;
  const auto share = [&](double aFullSpread) {
    state.settings.fullSpread = aFullSpread;
    constexpr int kHosts = 2000;
    std::map<ServerId, int> chosen;
    SplitMix64 random{ 5 };
    for (int host = 0; host < kHosts; ++host) {
      auto demand = SmallDemand();
      demand.randomSample = random.Next();
      ++chosen[ChooseChain(state, demand, kNow)->hops.front().server];
    }
    return static_cast<double>(chosen[ServerId{ "a1" }]) / kHosts;
  };
  // Empty servers are chosen as before.
  cr_assert_eq(share(4.0), share(0.0));
  for (auto& [id, server] : state.groups.at(kService).servers) {
    server.remoteWork.kv = 0.7 * server.kvCapacity;
  }
  // One server looks emptier than the three others.
  auto& emptier = state.groups.at(kService).servers.at(ServerId{ "a1" });
  emptier.remoteWork.kv = 0.5 * emptier.kvCapacity;
  cr_assert_lt(share(4.0), 0.8 * share(0.0));
  cr_assert_gt(share(4.0), 0.25);
}

// Guards against predicted times that contain the random weights, by which a
// request would seem to miss its target.
Test(choose_chain, predicted_times_have_no_random_part)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, kLayers }) });
  auto& server = state.groups.at(kService).servers.at(ServerId{ "a1" });
  server.remoteWork.kv = 0.7 * server.kvCapacity;
  const auto exact = ChooseChain(state, SmallDemand(), kNow);
  auto demand = SmallDemand();
  demand.randomSample = 7;
  cr_assert_eq(ChooseChain(state, demand, kNow)->eventMs, exact->eventMs);
}

Test(choose_chain, avoids_a_server_longer_after_repeated_refusals)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, 8 }) });
  const auto chain = ChooseChain(state, SmallDemand(), kNow);
  auto now = kNow;
  const auto refuse = [&] {
    RecordOutcome(state, kService, "a1:80", RequestOutcome::Full, now);
  };
  refuse();
  refuse();
  now += state.settings.fullAvoidance;
  cr_assert(ChooseChain(state, SmallDemand(), now).has_value(),
            "refusals of the same moment count once");
  refuse();
  now += state.settings.fullAvoidance;
  cr_assert_not(ChooseChain(state, SmallDemand(), now).has_value());
  now += state.settings.fullAvoidance;
  cr_assert(ChooseChain(state, SmallDemand(), now).has_value());
  Reservation none;
  RecordEvent(state, kService, chain->hops, none, {}, now);
  refuse();
  now += state.settings.fullAvoidance;
  cr_assert(ChooseChain(state, SmallDemand(), now).has_value(),
            "a request that was taken ends the row of refusals");
}

// Guards against less urgent requests that fill a server beyond their level.
Test(choose_chain, keeps_a_server_below_the_level_of_the_request)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, 8 }) });
  auto& server = state.groups.at(kService).servers.at(ServerId{ "a1" });
  server.remoteWork.kv = server.kvCapacity * 0.7;
  auto demand = SmallDemand();
  cr_assert(ChooseChain(state, demand, kNow).has_value());
  demand.kvFraction = 0.6;
  cr_assert_not(ChooseChain(state, demand, kNow).has_value());
  demand.kvFraction = 0.8;
  cr_assert(ChooseChain(state, demand, kNow).has_value());
  // No level permits more than the settings.
  demand.kvFraction = 1.0;
  server.remoteWork.kv = server.kvCapacity * 0.96;
  cr_assert_not(ChooseChain(state, demand, kNow).has_value());
}

// Guards against chains that leave a zone because of the random weight of its
// nearly full servers: on a heavy day a third of all chains did, the link
// between the zones was full, and their callers gave up.
Test(choose_chain, random_weights_of_full_servers_keep_chains_in_their_zone)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, 4 }),
                           MakeEngine("a2", "a", { 4, kLayers }),
                           MakeEngine("b1", "b", { 0, 4 }),
                           MakeEngine("b2", "b", { 4, kLayers }) });
  for (auto& [id, server] : state.groups.at(kService).servers) {
    server.remoteWork.kv = 0.8 * server.kvCapacity;
    server.remoteWork.passing = 100;
  }
  SplitMix64 random{ 8 };
  for (int round = 0; round < 400; ++round) {
    auto demand = SmallDemand();
    demand.randomSample = random.Next();
    const auto chain = ChooseChain(state, demand, kNow);
    cr_assert_eq(chain->hops.front().server.Value().front(),
                 chain->hops.back().server.Value().front());
  }
}

// Guards against deployments whose requests are all of one priority being
// served otherwise than before.
Test(choose_chain, without_competing_requests_reports_change_nothing)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, kLayers }),
                           MakeEngine("a2", "a", { 0, kLayers }, "slow") });
  state.groups.at(kService).competing = false;
  auto& server = state.groups.at(kService).servers.at(ServerId{ "a1" });
  server.remoteWork.waitingPrompt = 1e6;
  server.remoteRejection = { kNow, 0.1 };
  const auto chain = ChooseChain(state, SmallDemand(), kNow + 1ms);
  cr_assert_eq(chain->hops.front().server, ServerId{ "a1" });
}
