#include "balsampoint/usage/module.hpp"

#include <chrono>
#include <criterion/criterion.h>
#include <set>
#include <string>

using namespace balsampoint;
using namespace balsampoint::usage;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 1h };

LocalUsage
MakeUsage(std::uint32_t aPassing, double aKv)
{
  return { { { .server = ServerId{ "s" }, .passing = aPassing, .kv = aKv } } };
}

const RemoteUsage&
SentTo(const Actions& aActions, std::string_view aHost)
{
  for (const auto& action : aActions) {
    const auto* send = std::get_if<Send>(&action);
    if (send != nullptr && send->to.Value() == aHost) {
      return std::get<RemoteUsage>(send->message);
    }
  }
  cr_assert_fail("no message to the host");
  static const RemoteUsage none;
  return none;
}

} // namespace

Test(usage, each_host_receives_the_work_of_the_others)
{
  State state{ .settings = { .self = HostId{ "c" } } };
  Actions actions;
  Module::Handle(
    state, Received{ HostId{ "e1" }, MakeUsage(3, 30) }, kNow, actions);
  Module::Handle(
    state, Received{ HostId{ "e2" }, MakeUsage(4, 40) }, kNow, actions);
  Module::Handle(
    state, Received{ HostId{ "e3" }, MakeUsage(0, 0) }, kNow, actions);
  Module::Tick(state, kNow + 200ms, actions);
  cr_assert_eq(SentTo(actions, "e1").servers.front().passing, 4U);
  cr_assert_eq(SentTo(actions, "e2").servers.front().kv, 30.0);
  cr_assert_eq(SentTo(actions, "e3").servers.front().passing, 7U);
  cr_assert_eq(SentTo(actions, "e3").hosts, 2U);
}

Test(usage, the_newest_statement_about_a_rate_reaches_every_host)
{
  State state{ .settings = { .self = HostId{ "c" } } };
  Actions actions;
  const auto report = [&](const char* aHost,
                          std::optional<double> aLimit,
                          Duration aAge,
                          std::uint64_t aIncarnation = 1) {
    const ServerUsage use{ .server = ServerId{ "s" },
                           .recent = 2,
                           .rate = {
                             { Incarnation{ aIncarnation }, aLimit, aAge } } };
    Module::Handle(
      state, Received{ HostId{ aHost }, LocalUsage{ { use } } }, kNow, actions);
  };
  report("e1", 5.0, 3s);
  report("e2", std::nullopt, 1s);
  report("e3", 7.0, 0s, 0);
  Module::Tick(state, kNow + 200ms, actions);
  const auto& known = SentTo(actions, "e1").servers.front();
  cr_assert(known.rate.has_value());
  cr_assert_not(known.rate->limit.has_value());
  cr_assert_eq(known.rate->age, Duration{ 1200ms });
  cr_assert_eq(known.recent, 4U);
}

// Statements take more bytes than work; hundreds of hosts get each sum.
Test(usage, statements_about_rates_are_sent_once_a_second)
{
  State state{ .settings = { .self = HostId{ "c" } } };
  const ServerUsage limited{ .server = ServerId{ "s" },
                             .rate = { { Incarnation{ 1 }, 5.0, 0s } } };
  int sums = 0;
  for (auto now = kNow; now < kNow + 4s; now += 200ms) {
    Actions actions;
    for (const auto* host : { "e1", "e2" }) {
      Module::Handle(state,
                     Received{ HostId{ host }, LocalUsage{ { limited } } },
                     now,
                     actions);
    }
    Module::Tick(state, now, actions);
    sums += SentTo(actions, "e1").servers.empty() ? 0 : 1;
  }
  cr_assert_eq(sums, 4);
}

Test(usage, demand_is_that_of_the_other_hosts)
{
  State state{ .settings = { .self = HostId{ "c" } } };
  Actions actions;
  const ServiceId service{ "d" };
  for (const auto& [host, demand] : { std::pair{ "e1", 3.0 }, { "e2", 4.0 } }) {
    Module::Handle(
      state,
      Received{ HostId{ host }, LocalUsage{ {}, {}, { { service, demand } } } },
      kNow,
      actions);
  }
  Module::Tick(state, kNow + 200ms, actions);
  cr_assert_eq(SentTo(actions, "e1").services.front().demand, 4.0);
  cr_assert_eq(SentTo(actions, "e2").services.front().demand, 3.0);
}

// Guards against hosts that compute levels from their own demand twice, or
// without that of some other host.
Test(usage, demand_by_urgency_is_that_of_the_other_hosts)
{
  State state{ .settings = { .self = HostId{ "c" } } };
  Actions actions;
  const ServiceId service{ "d" };
  using Demand = std::vector<UrgencyDemand>;
  for (const auto& [host, demand] :
       { std::pair{ "e1", Demand{ { 0, 10.0 }, { 2, 5.0 } } },
         { "e2", Demand{ { 0, 20.0 } } },
         { "e3", Demand{ { 1, 7.0 } } } }) {
    Module::Handle(
      state,
      Received{ HostId{ host },
                LocalUsage{ .services = { { .service = service,
                                            .byUrgency = demand } } } },
      kNow,
      actions);
  }
  Module::Tick(state, kNow + 200ms, actions);
  const Demand toFirst{ { 0, 20.0 }, { 1, 7.0 }, { 2, 0.0 } };
  const Demand toSecond{ { 0, 10.0 }, { 1, 7.0 }, { 2, 5.0 } };
  cr_assert(SentTo(actions, "e1").services.front().byUrgency == toFirst);
  cr_assert(SentTo(actions, "e2").services.front().byUrgency == toSecond);
}

Test(usage, an_expired_report_no_longer_counts)
{
  State state{ .settings = { .self = HostId{ "c" } } };
  Actions actions;
  Module::Handle(
    state, Received{ HostId{ "e1" }, MakeUsage(3, 30) }, kNow, actions);
  Module::Handle(
    state, Received{ HostId{ "e2" }, MakeUsage(4, 40) }, kNow + 2s, actions);
  Module::Tick(state, kNow + 2200ms, actions);
  cr_assert(SentTo(actions, "e2").servers.empty());
}

Test(usage, work_is_sent_to_the_collector)
{
  State state{ .settings = { .self = HostId{ "e1" } } };
  Actions actions;
  Module::Handle(state, Measured{ MakeUsage(1, 1) }, kNow, actions);
  cr_assert(actions.empty());
  Module::Handle(
    state, TopologyChanged{ HostId{ "c" }, {}, {} }, kNow, actions);
  Module::Handle(state, Measured{ MakeUsage(1, 1) }, kNow, actions);
  cr_assert_eq(std::get<Send>(actions.front()).to, HostId{ "c" });
}

// Guards against crashes that seem to have happened at one moment, since a
// report of an earlier one had waited longer to be passed on.
Test(usage, suspects_are_passed_on_with_the_time_they_were_held)
{
  State state{ .settings = { .self = HostId{ "c" } } };
  Actions actions;
  const quarantine::SuspectReport report{
    .suspect = quarantine::SuspectId::Part(PromptPartId{ "p" }),
    .crashes = { { { ServerId{ "s" }, Incarnation{ 1 } }, 100ms } },
    .answeredFor = 50ms,
    .activeFor = 100ms
  };
  Module::Handle(state,
                 Received{ HostId{ "e1" }, LocalUsage{ {}, { report } } },
                 kNow,
                 actions);
  Module::Handle(
    state, Received{ HostId{ "e2" }, MakeUsage(0, 0) }, kNow, actions);
  Module::Tick(state, kNow + 180ms, actions);
  const auto& passedOn = SentTo(actions, "e2").suspects.front();
  cr_assert_eq(passedOn.crashes.front().age, Duration{ 280ms });
  cr_assert_eq(*passedOn.answeredFor, Duration{ 230ms });
  cr_assert_eq(passedOn.activeFor, Duration{ 280ms });
}

// Guards against a request that crashes servers at hosts which haven't heard
// yet that it crashed one.
Test(usage, new_suspects_are_passed_on_at_once)
{
  State state{ .settings = { .self = HostId{ "c" } } };
  Actions actions;
  const quarantine::SuspectReport report{
    .suspect = quarantine::SuspectId::Request("deadly"),
    .crashes = { { { ServerId{ "s" }, Incarnation{ 1 } }, 0ms } }
  };
  const auto tell = [&](const LocalUsage& aUse, Instant aNow) {
    Module::Handle(state, Received{ HostId{ "e1" }, aUse }, aNow, actions);
  };
  tell(MakeUsage(0, 0), kNow);
  Module::Tick(state, kNow, actions);
  tell({ {}, { report } }, kNow + 100ms);
  cr_assert_leq(Module::NextDeadline(state), kNow + 120ms);
  Module::Tick(state, kNow + 120ms, actions);
  tell({ {}, { report } }, kNow + 130ms);
  cr_assert_geq(Module::NextDeadline(state), kNow + 300ms);
  // No more often than once a second, whatever is new.
  for (auto at = kNow + 140ms; at < kNow + 1s; at += 10ms) {
    auto other = report;
    other.suspect.id = std::to_string(at.time_since_epoch().count());
    tell({ {}, { other } }, at);
    cr_assert_eq(Module::NextDeadline(state), kNow + 320ms);
  }
  auto again = report;
  again.cameAgain = true;
  tell({ {}, { again } }, kNow + 1200ms);
  cr_assert_leq(Module::NextDeadline(state), kNow + 1210ms);
}

namespace {

const Message*
Find(const Actions& aActions, std::string_view aHost)
{
  for (const auto& action : aActions) {
    const auto* send = std::get_if<Send>(&action);
    if (send != nullptr && send->to.Value() == aHost) {
      return &send->message;
    }
  }
  return nullptr;
}

State
MakeRelay()
{
  State state{ .settings = { .self = HostId{ "r1" }, .zone = ZoneId{ "a" } } };
  Actions actions;
  Module::Handle(
    state,
    TopologyChanged{ HostId{ "r1" }, { HostId{ "r2" } }, HostId{ "c" } },
    kNow,
    actions);
  return state;
}

} // namespace

Test(usage, a_relay_sends_the_sum_of_its_group_to_relays_and_a_control_host)
{
  auto state = MakeRelay();
  Actions actions;
  Module::Handle(
    state, Received{ HostId{ "e1" }, MakeUsage(3, 30) }, kNow, actions);
  Module::Handle(state, Measured{ MakeUsage(2, 20) }, kNow, actions);
  Module::Tick(state, kNow + 200ms, actions);
  for (const auto* host : { "r2", "c" }) {
    const auto& group = std::get<GroupUsage>(*Find(actions, host));
    cr_assert_eq(group.zone, ZoneId{ "a" });
    cr_assert_eq(group.hosts, 2U);
    cr_assert_eq(group.servers.front().passing, 5U);
  }
}

Test(usage, hosts_receive_the_work_of_other_groups_and_zones)
{
  auto state = MakeRelay();
  Actions actions;
  Module::Handle(
    state, Received{ HostId{ "e1" }, MakeUsage(3, 30) }, kNow, actions);
  GroupUsage group{ .zone = ZoneId{ "a" }, .hosts = 7 };
  group.servers = MakeUsage(10, 100).servers;
  Module::Handle(state, Received{ HostId{ "r2" }, group }, kNow, actions);
  const FarUsage far{ MakeUsage(100, 1000).servers, 50, {} };
  Module::Handle(state, Received{ HostId{ "c" }, far }, kNow, actions);
  Module::Tick(state, kNow + 200ms, actions);
  const auto& others = SentTo(actions, "e1");
  cr_assert_eq(others.servers.front().passing, 110U);
  cr_assert_eq(others.hosts, 57U);
}

Test(usage, a_control_host_answers_a_relay_with_the_other_zones)
{
  State state{ .settings = { .self = HostId{ "c" }, .isControlHost = true } };
  Actions actions;
  for (const auto* relay : { "a1", "a2", "b1" }) {
    GroupUsage group{ .zone = ZoneId{ std::string{ relay, 1 } }, .hosts = 4 };
    group.servers = MakeUsage(5, 50).servers;
    actions.clear();
    Module::Handle(state, Received{ HostId{ relay }, group }, kNow, actions);
  }
  const auto& toB = std::get<FarUsage>(*Find(actions, "b1"));
  cr_assert_eq(toB.hosts, 8U);
  cr_assert_eq(toB.servers.front().passing, 10U);
}

// Guards against a control host whose messages grow with the entry hosts.
Test(usage, sums_to_a_control_host_become_rarer_with_more_hosts)
{
  auto state = MakeRelay();
  Actions actions;
  GroupUsage group{ .zone = ZoneId{ "a" }, .hosts = 300 };
  std::size_t sent = 0;
  for (auto now = kNow; now < kNow + 10s; now += 200ms) {
    Module::Handle(state, Received{ HostId{ "r2" }, group }, now, actions);
    Module::Handle(state, Measured{ MakeUsage(1, 1) }, now, actions);
    actions.clear();
    Module::Tick(state, now, actions);
    sent += Find(actions, "c") != nullptr ? 1 : 0;
  }
  cr_assert_leq(sent, 11U);
  cr_assert_geq(sent, 9U);
}

Test(usage, an_unchanged_report_is_repeated_rarely)
{
  State state{ .settings = { .self = HostId{ "e1" } } };
  Actions actions;
  Module::Handle(
    state, TopologyChanged{ HostId{ "r1" }, {}, {} }, kNow, actions);
  for (auto now = kNow; now < kNow + 6s; now += 200ms) {
    Module::Handle(state, Measured{ MakeUsage(1, 1) }, now, actions);
  }
  cr_assert_eq(actions.size(), 10U);
  Module::Handle(state, Measured{ MakeUsage(2, 1) }, kNow + 6s, actions);
  Module::Handle(state, Measured{ MakeUsage(3, 1) }, kNow + 6100ms, actions);
  cr_assert_eq(actions.size(), 12U);
}

// Guards against a host that is cut off from all servers and isn't told who
// reaches them.
Test(usage, hosts_that_need_detours_are_told_of_them_soon)
{
  State state{ .settings = { .self = HostId{ "c" }, .zone = ZoneId{ "a" } } };
  Actions actions;
  const auto report = [&](const char* aHost, bool aNeeds, Instant aNow) {
    LocalUsage use{ .needsDetours = aNeeds };
    if (!aNeeds) {
      use.detour = std::string{ aHost } + ":7355";
    }
    Module::Handle(state, Received{ HostId{ aHost }, use }, aNow, actions);
  };
  report("e1", false, kNow);
  report("e2", false, kNow);
  Module::Handle(
    state,
    Received{
      HostId{ "c0" },
      FarUsage{ .hosts = 1, .detours = { { ZoneId{ "b" }, "e9:7355" } } } },
    kNow,
    actions);
  Module::Tick(state, kNow + 200ms, actions);
  cr_assert(SentTo(actions, "e1").detours.empty());
  cr_assert(SentTo(actions, "e2").detours.empty());
  actions.clear();
  report("e2", true, kNow + 210ms);
  cr_assert_eq(Module::NextDeadline(state), kNow + 220ms);
  Module::Tick(state, kNow + 220ms, actions);
  cr_assert(SentTo(actions, "e1").detours.empty());
  const std::vector<reach::Detour> expected{ { ZoneId{ "a" }, "e1:7355" },
                                             { ZoneId{ "b" }, "e9:7355" } };
  cr_assert(SentTo(actions, "e2").detours == expected);
}

// Guards against lists that grow with the hosts, and detours that get all the
// load because they come first.
Test(usage, detours_take_turns_in_lists_of_bounded_length)
{
  State state{ .settings = { .self = HostId{ "c" }, .zone = ZoneId{ "a" } } };
  Actions actions;
  for (int number = 0; number < 40; ++number) {
    const auto host = "e" + std::to_string(number);
    Module::Handle(state,
                   Received{ HostId{ host }, LocalUsage{ .detour = host } },
                   kNow,
                   actions);
  }
  Module::Handle(
    state,
    Received{ HostId{ "cut" }, LocalUsage{ .needsDetours = true } },
    kNow,
    actions);
  std::set<std::string> named;
  for (int turn = 1; turn <= 5; ++turn) {
    actions.clear();
    Module::Tick(state, kNow + turn * 200ms, actions);
    const auto& detours = SentTo(actions, "cut").detours;
    cr_assert_eq(detours.size(), state.settings.maxDetours);
    for (const auto& detour : detours) {
      named.insert(detour.address);
    }
  }
  cr_assert_eq(named.size(), 40U);
}
