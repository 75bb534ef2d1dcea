#include "balsampoint/fleet/command/record_statement.hpp"

#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/fixture.hpp"
#include "balsampoint/fleet/query/choose_chain.hpp"
#include "balsampoint/fleet/query/choose_server.hpp"
#include "balsampoint/fleet/query/make_local_usage.hpp"
#include "balsampoint/fleet/query/retry_after.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::fleet;
using namespace balsampoint::test;
using namespace std::chrono_literals;

namespace {

const ServiceId kService{ "verse" };
constexpr Instant kNow{ 1h };

Hop
HopTo(const std::string& aServer, std::uint64_t aIncarnation = 1)
{
  return { .server = ServerId{ aServer },
           .incarnation = Incarnation{ aIncarnation },
           .address = aServer + ":80" };
}

std::vector<roster::Server>
TwoStages()
{
  return { MakeEngine("a", "a", { 0, 4 }),
           MakeEngine("b", "a", { 4, 8 }),
           MakeEngine("c", "a", { 4, 8 }, "slow") };
}

/** @brief The last server of the chain that would be chosen; empty for none. */
std::string
LastOfChain(const State& aState, Instant aNow)
{
  const auto chain = ChooseChain(
    aState,
    { .service = kService, .promptTokens = 100.0, .answerTokens = 40.0 },
    aNow);
  return chain ? chain->hops.back().server.String() : std::string{};
}

} // namespace

Test(record_statement, a_leaving_server_is_no_later_stage_of_a_chain)
{
  auto state = MakeFleet(TwoStages());
  cr_assert_eq(LastOfChain(state, kNow), "b");
  cr_assert(RecordLeaving(state, kService, HopTo("b")));
  cr_assert_eq(LastOfChain(state, kNow), "c");
  cr_assert_not(RecordLeaving(state, kService, HopTo("b")), "no news");
}

Test(record_statement, a_heartbeat_of_the_same_incarnation_brings_nothing_back)
{
  auto servers = TwoStages();
  auto state = MakeFleet(servers);
  RecordLeaving(state, kService, HopTo("b"));
  FollowRoster(state, { .servers = servers }, SmallModel());
  cr_assert_eq(LastOfChain(state, kNow), "c");
  servers[1].claim.stamp.incarnation = Incarnation{ 2 };
  FollowRoster(state, { .servers = servers }, SmallModel());
  cr_assert_eq(LastOfChain(state, kNow), "b");
}

Test(record_statement, a_late_answer_changes_nothing_for_a_newer_incarnation)
{
  auto servers = TwoStages();
  servers[1].claim.stamp.incarnation = Incarnation{ 2 };
  auto state = MakeFleet(servers);
  cr_assert_not(RecordLeaving(state, kService, HopTo("b", 1)));
  cr_assert_not(RecordBackOff(state, kService, HopTo("b", 1), kNow + 9s));
  cr_assert_eq(LastOfChain(state, kNow), "b");
}

Test(record_statement, a_server_that_backs_off_gets_nothing_until_the_end)
{
  auto state = MakeFleet({ MakeEngine("a", "a", { 0, 8 }) });
  cr_assert(RecordBackOff(state, kService, HopTo("a"), kNow + 3s));
  cr_assert_eq(LastOfChain(state, kNow + 2900ms), "", "no last resort either");
  cr_assert_eq(LastOfChain(state, kNow + 3s), "a");
}

Test(record_statement, the_latest_end_of_several_answers_counts)
{
  auto state = MakeFleet({ MakeEngine("a", "a", { 0, 8 }) });
  RecordBackOff(state, kService, HopTo("a"), kNow + 3s);
  cr_assert_not(RecordBackOff(state, kService, HopTo("a"), kNow + 1s));
  cr_assert_eq(LastOfChain(state, kNow + 2s), "");
  cr_assert_not(RecordBackOff(state, kService, HopTo("a"), kNow - 1s));
}

Test(record_statement, one_request_goes_first_when_a_server_returns)
{
  auto state = MakeFleet({ MakeEngine("a", "a", { 0, 8 }) });
  RecordBackOff(state, kService, HopTo("a"), kNow + 1s);
  const std::vector hops{ HopTo("a") };
  const auto later = kNow + 2s;
  Reserve(state, kService, hops, { .tokens = 10.0 });
  cr_assert_eq(LastOfChain(state, later), "");
  RecordOutcome(state, kService, "a:80", RequestOutcome::Answered, later);
  cr_assert_eq(LastOfChain(state, later), "a");
}

Test(record_statement, retry_after_is_the_earliest_end_of_all_servers)
{
  auto state = MakeFleet(
    { MakeEngine("a", "a", { 0, 8 }), MakeEngine("b", "a", { 0, 8 }) });
  state.groups.at(kService).engine.reset();
  const auto usual = RetryAfter(state, kService, kNow);
  RecordBackOff(state, kService, HopTo("a"), kNow + 9s);
  cr_assert_eq(RetryAfter(state, kService, kNow), usual);
  RecordBackOff(state, kService, HopTo("b"), kNow + 5s);
  cr_assert_eq(RetryAfter(state, kService, kNow), Duration{ 5s });
  cr_assert_not(ChooseServer(state, kService, {}, {}, 0, kNow).has_value());
}

// Guards against requests to a leaving server after a configuration without its
// service and another one with it again.
Test(record_statement, a_configuration_without_the_service_forgets_nothing)
{
  auto state = MakeFleet(TwoStages());
  const roster::View view{ .servers = TwoStages() };
  cr_assert(RecordLeaving(state, kService, HopTo("b")));
  FollowRoster(state, view, routing::Document{});
  cr_assert(state.groups.empty());
  FollowRoster(state, view, SmallModel());
  cr_assert_eq(LastOfChain(state, kNow), "c");
}

Test(record_statement, a_configuration_without_the_service_keeps_a_back_off)
{
  auto state = MakeFleet(TwoStages());
  const roster::View view{ .servers = TwoStages() };
  cr_assert(RecordBackOff(state, kService, HopTo("b"), kNow + 5s));
  FollowRoster(state, view, routing::Document{});
  FollowRoster(state, view, SmallModel());
  cr_assert_eq(LastOfChain(state, kNow + 1s), "c");
  cr_assert_eq(LastOfChain(state, kNow + 6s), "b");
}

Test(record_statement, a_later_incarnation_is_not_held_to_a_statement)
{
  auto state = MakeFleet(TwoStages());
  cr_assert(RecordLeaving(state, kService, HopTo("b")));
  roster::View view{ .servers = TwoStages() };
  FollowRoster(state, view, routing::Document{});
  view.servers[1].claim.stamp.incarnation = Incarnation{ 2 };
  FollowRoster(state, view, SmallModel());
  cr_assert_eq(LastOfChain(state, kNow), "b");
}

Test(record_statement, statements_of_servers_that_are_gone_are_dropped)
{
  auto state = MakeFleet(TwoStages());
  cr_assert(RecordLeaving(state, kService, HopTo("b")));
  FollowRoster(state, {}, SmallModel());
  cr_assert(state.statements.empty());
}

Test(record_statement, a_limited_server_stays_a_later_stage_of_a_chain)
{
  auto state = MakeFleet({ MakeEngine("a", "a", { 0, 4 }),
                           MakeEngine("b", "a", { 4, 8 }),
                           MakeEngine("c", "a", { 0, 4 }, "slow") });
  const std::optional<double> none{ 0.0 };
  cr_assert(RecordRateLimit(state, kService, HopTo("a"), none, kNow));
  cr_assert(RecordRateLimit(state, kService, HopTo("b"), none, kNow));
  const auto chain = ChooseChain(
    state,
    { .service = kService, .promptTokens = 100.0, .answerTokens = 40.0 },
    kNow);
  cr_assert(chain.has_value());
  cr_assert_eq(chain->hops.front().server.Value(), "c");
  cr_assert_eq(chain->hops.back().server.Value(), "b");
}

Test(record_statement, a_rate_outlives_a_configuration_without_the_service)
{
  auto state = MakeFleet(TwoStages());
  RecordRateLimit(state, kService, HopTo("a"), 2.5, kNow);
  const roster::View view{ .servers = TwoStages() };
  FollowRoster(state, view, {});
  FollowRoster(state, view, SmallModel());
  const auto use = MakeLocalUsage(state, kNow + 2s);
  cr_assert_eq(use.servers.size(), 1U);
  cr_assert(use.servers.front().rate->limit == 2.5);
  cr_assert_eq(use.servers.front().rate->age, Duration{ 2s });
  cr_assert_eq(use.services.size(), 1U);
}

Test(record_statement, the_newest_statement_about_a_rate_counts)
{
  auto state = MakeFleet(TwoStages());
  auto& server = state.groups.at(kService).servers.at(ServerId{ "a" });
  RecordRateLimit(state, kService, HopTo("a"), 2.5, kNow);
  RecordRemoteRateLimit(server, {}, kNow - 1s, kNow + 1s);
  cr_assert(server.rateLimit == 2.5);
  RecordRemoteRateLimit(server, 1.5, kNow + 1s, kNow + 2s);
  cr_assert(server.rateLimit == 1.5);
  cr_assert(RecordRateLimit(state, kService, HopTo("a"), {}, kNow + 3s));
  cr_assert_not(RecordRateLimit(state, kService, HopTo("a"), {}, kNow + 4s));
  // The end is told to the others for a while.
  cr_assert_eq(MakeLocalUsage(state, kNow + 4s).servers.size(), 1U);
  cr_assert(MakeLocalUsage(state, kNow + 1min).servers.empty());
  // A host that still believes in the limit is told again.
  RecordRemoteRateLimit(server, 1.5, kNow + 2s, kNow + 1min);
  cr_assert_eq(MakeLocalUsage(state, kNow + 1min + 1s).servers.size(), 1U);
}
