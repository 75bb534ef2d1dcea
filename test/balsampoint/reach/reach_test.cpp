#include "balsampoint/reach/command/record_check.hpp"
#include "balsampoint/reach/command/record_traffic.hpp"
#include "balsampoint/reach/command/use_detours.hpp"
#include "balsampoint/reach/query/check_due.hpp"
#include "balsampoint/reach/query/choose_detour.hpp"
#include "balsampoint/reach/query/choose_references.hpp"

#include <array>
#include <criterion/criterion.h>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

using namespace balsampoint;
using namespace balsampoint::reach;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 1h };

State
DownState()
{
  State state{ .settings = { .zone = ZoneId{ "a" } } };
  static_cast<void>(RecordCheck(state, CheckResult::Refused, kNow));
  return state;
}

Detour
MakeDetour(const char* aZone, const char* aAddress)
{
  return { ZoneId{ aZone }, aAddress };
}

roster::Server
MakeServer(const std::string& aName,
           const char* aService,
           roster::Presence aPresence = roster::Presence::Ready)
{
  return { .claim = { .server = ServerId{ aName },
                      .presence = aPresence,
                      .description = { .service = ServiceId{ aService },
                                       .address = aName } } };
}

} // namespace

Test(reach, a_link_is_down_after_one_failed_check_and_up_after_two_good_ones)
{
  State state;
  cr_assert_not(RecordCheck(state, CheckResult::Reached, kNow));
  cr_assert(RecordCheck(state, CheckResult::Refused, kNow));
  cr_assert_eq(state.link, Link::Down);
  cr_assert_not(RecordCheck(state, CheckResult::Reached, kNow));
  cr_assert_not(RecordCheck(state, CheckResult::Refused, kNow));
  cr_assert_not(RecordCheck(state, CheckResult::Reached, kNow));
  cr_assert(RecordCheck(state, CheckResult::Reached, kNow));
  cr_assert_eq(state.link, Link::Up);
}

Test(reach, checks_are_due_without_failures_only_while_nothing_is_known)
{
  State state;
  cr_assert(IsCheckDue(state, kNow));
  BeginCheck(state, kNow);
  cr_assert_not(RecordCheck(state, CheckResult::Reached, kNow));
  cr_assert_not(IsCheckDue(state, kNow + 900ms));
  cr_assert_not(MayCheck(state, kNow + 100ms));
  cr_assert(MayCheck(state, kNow + 200ms));
  cr_assert(IsCheckDue(state, kNow + 1s));
  RecordConnected(state, kNow + 900ms);
  cr_assert_not(IsCheckDue(state, kNow + 1s));
  BeginCheck(state, kNow + 2s);
  cr_assert(RecordCheck(state, CheckResult::Refused, kNow + 2s));
  cr_assert(IsCheckDue(state, kNow + 2200ms));
}

// Guards against a host that trusts connections that stand and pass nothing.
Test(reach, bytes_without_acknowledgement_make_a_check_due)
{
  State state;
  BeginCheck(state, kNow);
  cr_assert_not(RecordCheck(state, CheckResult::Reached, kNow));
  const std::array silent{
    ConnectionEvidence{ "one", kNow, Instant::min(), true, 10s },
    ConnectionEvidence{ "two", kNow + 50ms, kNow - 1s, true, 10s }
  };
  RecordTraffic(state, silent, kNow + 99ms);
  cr_expect_not(IsCheckDue(state, kNow + 200ms));
  RecordTraffic(state, silent, kNow + 100ms);
  cr_expect(IsCheckDue(state, kNow + 200ms));
  cr_expect_not(ChecksAllAtOnce(state));
  RecordTraffic(state, silent, kNow + 150ms);
  cr_expect(ChecksAllAtOnce(state));
  RecordTraffic(state, {}, kNow + 200ms);
  cr_expect_not(IsCheckDue(state, kNow + 200ms));
}

// Guards against a check that waits for acknowledgements where connections are
// refused or reset, so that the host finds late that its link is down, and
// against one that trusts open connections where they pass nothing.
Test(reach, acknowledgements_are_needed_only_where_connections_stand)
{
  State state;
  cr_expect(NeededProof(state, kNow) == Proof::Open);
  cr_assert(RecordCheck(state, CheckResult::Refused, kNow));
  cr_expect(NeededProof(state, kNow) == Proof::Open);
  cr_assert_not(RecordCheck(state, CheckResult::Silent, kNow));
  cr_expect(NeededProof(state, kNow) == Proof::Acknowledged);
  cr_assert_not(RecordCheck(state, CheckResult::Refused, kNow));
  cr_expect(NeededProof(state, kNow) == Proof::Acknowledged);
  cr_assert_not(RecordCheck(state, CheckResult::Reached, kNow));
  cr_expect(NeededProof(state, kNow) == Proof::Acknowledged);
  cr_assert(RecordCheck(state, CheckResult::Reached, kNow));
  cr_expect(NeededProof(state, kNow) == Proof::Open);
  RecordTraffic(
    state,
    std::array{ ConnectionEvidence{ "one", kNow, Instant::min(), true, 10s } },
    kNow + 100ms);
  cr_expect(NeededProof(state, kNow + 100ms) == Proof::Acknowledged);
}

// Guards against a system call for each stream ten times a second on hosts
// whose streams go on.
Test(reach, the_kernel_is_asked_only_while_no_server_sends)
{
  State state;
  cr_expect_not(NeedsAcknowledgements(state, kNow));
  const std::array waiting{ ConnectionEvidence{
    "one", kNow, Instant::min(), false, {} } };
  RecordTraffic(state, waiting, kNow + 99ms);
  cr_expect_not(NeedsAcknowledgements(state, kNow + 99ms));
  cr_expect(NeedsAcknowledgements(state, kNow + 100ms));
  const std::array going{
    waiting[0], ConnectionEvidence{ "two", kNow, kNow + 150ms, false, {} }
  };
  RecordTraffic(state, going, kNow + 200ms);
  cr_expect_not(NeedsAcknowledgements(state, kNow + 200ms));
  cr_expect(NeedsAcknowledgements(state, kNow + 250ms));
}

// Guards against slow servers that are taken for a lost link: their kernel
// acknowledges, so they cost at most a check in each quiet time.
Test(reach, a_slow_server_that_acknowledges_is_not_silent)
{
  State state;
  BeginCheck(state, kNow);
  cr_assert_not(RecordCheck(state, CheckResult::Reached, kNow));
  const std::array slow{
    ConnectionEvidence{ "one", kNow, Instant::min(), false, 10s },
    ConnectionEvidence{ "two", kNow, Instant::min(), true, 20ms }
  };
  RecordTraffic(state, slow, kNow + 250ms);
  cr_expect_eq(state.silentServers, 0);
  cr_expect_not(IsCheckDue(state, kNow + 250ms));
  cr_expect(IsCheckDue(state, kNow + 300ms));
  BeginCheck(state, kNow + 300ms);
  cr_expect_not(IsCheckDue(state, kNow + 500ms));
  const std::array others{
    slow[0], ConnectionEvidence{ "three", kNow, kNow + 500ms, false, {} }
  };
  RecordTraffic(state, others, kNow + 600ms);
  cr_expect_not(IsCheckDue(state, kNow + 700ms));
}

// A host that has not shown that it reaches servers must not be named as a
// detour.
Test(reach, only_a_host_with_a_recent_connection_reaches_servers)
{
  State state;
  cr_assert_not(ReachesServers(state, kNow));
  RecordConnected(state, kNow);
  cr_assert(ReachesServers(state, kNow + 1400ms));
  cr_assert_not(ReachesServers(state, kNow + 1500ms));
  cr_assert(RecordCheck(state, CheckResult::Refused, kNow + 1s));
  cr_assert_not(ReachesServers(state, kNow + 1s));
}

Test(reach, detours_are_used_only_while_the_link_is_down)
{
  State state{ .settings = { .zone = ZoneId{ "a" } } };
  const std::array detours{ MakeDetour("a", "one") };
  SetDetours(state, detours, kNow);
  cr_assert_not(ChooseDetour(state, ZoneId{ "a" }, 0, kNow).has_value());
  cr_assert(RecordCheck(state, CheckResult::Refused, kNow));
  cr_assert_eq(ChooseDetour(state, ZoneId{ "a" }, 0, kNow)->address, "one");
  // The list has expired.
  cr_assert_not(ChooseDetour(state, ZoneId{ "a" }, 0, kNow + 5s).has_value());
}

Test(reach, detours_of_the_own_zone_come_before_those_of_the_servers_zone)
{
  auto state = DownState();
  const std::array detours{ MakeDetour("c", "far"),
                            MakeDetour("b", "near"),
                            MakeDetour("a", "own") };
  SetDetours(state, detours, kNow);
  const auto choose = [&] {
    return ChooseDetour(state, ZoneId{ "b" }, 7, kNow)->address;
  };
  cr_assert_eq(choose(), "own");
  RecordDetourFailure(state, "own", kNow);
  cr_assert_eq(choose(), "near");
  RecordDetourFailure(state, "near", kNow);
  cr_assert_eq(choose(), "far");
  RecordDetourFailure(state, "far", kNow);
  cr_assert_not(ChooseDetour(state, ZoneId{ "b" }, 7, kNow).has_value());
  cr_assert_eq(ChooseDetour(state, ZoneId{ "b" }, 7, kNow + 700ms)->address,
               "own");
}

Test(reach, connections_spread_over_detours)
{
  auto state = DownState();
  const std::array detours{ MakeDetour("a", "one"), MakeDetour("a", "two") };
  SetDetours(state, detours, kNow);
  for (std::uint32_t count = 0; count < 10; ++count) {
    CountConnection(state, "one", true);
  }
  // Whichever two are drawn, if they differ, the less used one is taken.
  constexpr std::uint64_t kOneAndTwo = 1;
  cr_assert_eq(ChooseDetour(state, {}, kOneAndTwo, kNow)->address, "two");
  cr_assert_eq(ChooseDetour(state, {}, kOneAndTwo << 32U, kNow)->address,
               "two");
}

// A service without live servers must not look like a link that is down.
Test(reach, a_check_draws_a_server_of_each_service_first)
{
  std::vector<roster::Server> servers;
  for (int number = 0; number < 50; ++number) {
    servers.push_back(MakeServer("big" + std::to_string(number), "big"));
  }
  servers.push_back(MakeServer("small", "small"));
  servers.push_back(MakeServer("gone", "small", roster::Presence::Silent));
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    SplitMix64 random{ seed };
    const auto drawn = ChooseReferences(servers, 4, random);
    const std::set<std::string> distinct{ drawn.begin(), drawn.end() };
    cr_assert_eq(distinct.size(), 4U);
    cr_assert(distinct.contains("small"));
    cr_assert_not(distinct.contains("gone"));
  }
  SplitMix64 random{ 1 };
  cr_assert_eq(ChooseReferences(servers, 100, random).size(), 51U);
  cr_assert(ChooseReferences({}, 4, random).empty());
}

// A zone without live servers must not look like a link that is down.
Test(reach, a_check_draws_servers_of_several_zones)
{
  std::vector<roster::Server> servers;
  for (const auto* zone : { "a", "b", "c" }) {
    for (int number = 0; number < 9; ++number) {
      auto server = MakeServer(zone + std::to_string(number), "big");
      server.claim.description.zone = ZoneId{ zone };
      servers.push_back(server);
    }
  }
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    SplitMix64 random{ seed };
    std::set<char> zones;
    for (const auto& address : ChooseReferences(servers, 3, random)) {
      zones.insert(address.front());
    }
    cr_assert_eq(zones.size(), 3U);
  }
}
