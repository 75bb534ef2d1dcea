#include "balsampoint/limit/query/levels.hpp"

#include "balsampoint/limit/fixture.hpp"
#include "balsampoint/limit/query/append_demand.hpp"
#include "balsampoint/limit/shortage.hpp"

#include <cmath>
#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::limit;
using namespace balsampoint::test;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 1h };

bool
Near(double aOne, double aOther)
{
  constexpr double kTolerance = 1e-9;
  return std::abs(aOne - aOther) < kTolerance;
}

} // namespace

// Guards against less urgent requests that fill the room which more urgent
// arrivals need before reports reach all hosts.
Test(levels, leave_room_for_more_urgent_arrivals)
{
  const auto levels =
    Levels({}, { { 0, 1000.0 }, { 1, 500.0 }, { 2, 9000.0 } }, 10000.0);
  cr_assert(Near(levels.at(0).fraction, 0.95));
  cr_assert(Near(levels.at(1).fraction, 0.85));
  cr_assert(Near(levels.at(2).fraction, 0.80));
}

// Guards against a great demand of the most urgent kind that leaves nothing to
// the least urgent one.
Test(levels, leave_most_of_the_room_to_the_least_urgent)
{
  const auto levels = Levels({}, { { 0, 1e9 }, { 7, 1.0 } }, 10000.0);
  cr_assert(Near(levels.at(7).fraction, 0.6));
  cr_assert(
    Near(Levels({}, { { 0, 5.0 }, { 7, 1.0 } }, 0.0).at(7).fraction, 0.95));
}

// Guards against deployments with equal priorities that send or do something
// new.
Test(levels, apply_only_to_requests_of_several_urgencies)
{
  auto state = MakeShortage({ 1, 1 });
  cr_assert(state.services.empty());
  CountDemand(state, kService, 1, 100.0, kNow);
  SetRemoteDemand(state, kService, { { 0, 1e9 } }, 10000.0, kNow);
  std::vector<usage::ServiceUsage> services;
  AppendDemand(state, kNow, services);
  cr_assert(services.empty());
  cr_assert(Near(LevelOf(state, kService, 1, kNow).fraction, 0.95));
}

// Guards against priorities of workspaces that are ignored where they replace
// those of routes.
Test(levels, follow_the_priorities_of_workspaces)
{
  auto document = Routes({ 1, 2 });
  document.routes.front().isPublic = false;
  document.routes.back().isPublic = false;
  document.workspaces = { { .id = WorkspaceId{ "w1" }, .priority = 0 },
                          { .id = WorkspaceId{ "w2" } } };
  Shortage state;
  static_cast<void>(FollowConfiguration(state, document));
  const std::set<Urgency> expected{ 0, 1, 2 };
  cr_assert(state.services.at(kService).urgencies == expected);
  document.workspaces.pop_back();
  static_cast<void>(FollowConfiguration(state, document));
  cr_assert(state.services.empty());
}

// Guards against deployments that are served otherwise than before only because
// some of their workspaces have a priority.
Test(levels, need_routes_of_several_priorities)
{
  auto document = Routes({ 1 });
  document.routes.front().isPublic = false;
  document.workspaces = { { .id = WorkspaceId{ "w1" }, .priority = 0 },
                          { .id = WorkspaceId{ "w2" } } };
  Shortage state;
  static_cast<void>(FollowConfiguration(state, document));
  cr_assert(state.services.empty());
}

// Guards against plain services, which have no KV, being counted.
Test(levels, do_not_apply_without_engines)
{
  auto document = Routes({ 0, 1 });
  document.services[kService].engine.reset();
  Shortage state;
  static_cast<void>(FollowConfiguration(state, document));
  cr_assert(state.services.empty());
}

// Guards against a host that is cut off and refuses requests because of demand
// that has long ended.
Test(levels, do_not_apply_with_old_sums)
{
  auto state = MakeShortage();
  cr_assert(Near(LevelOf(state, kService, 2, kNow).fraction, 0.95));
  SetRemoteDemand(state, kService, { { 0, 2000.0 } }, 10000.0, kNow);
  cr_assert(Near(LevelOf(state, kService, 2, kNow + 1500ms).fraction, 0.75));
  cr_assert(Near(LevelOf(state, kService, 2, kNow + 1501ms).fraction, 0.95));
  SetRemoteDemand(state, kService, { { 0, 1000.0 } }, 10000.0, kNow + 2s);
  cr_assert(Near(LevelOf(state, kService, 2, kNow + 2s).fraction, 0.85));
}

// Guards against levels that jump with each report.
Test(levels, change_gradually)
{
  auto state = MakeShortage();
  SetRemoteDemand(state, kService, {}, 10000.0, kNow);
  SetRemoteDemand(state, kService, { { 0, 2000.0 } }, 10000.0, kNow + 200ms);
  const auto level = LevelOf(state, kService, 2, kNow + 200ms).fraction;
  cr_assert(level < 0.95 && level > 0.92);
}

// Guards against a less urgent kind that is starved, as more urgent ones fill
// all room: each kind must be served at least a quarter as often as all.
Test(levels, give_each_urgency_a_minimum_share)
{
  for (const auto more : { 0.1, 0.5, 0.9, 0.999 }) {
    const auto levels = Levels({}, { { 0, more }, { 2, 1.0 - more } }, 1e-3);
    const auto share = levels.at(2).minShare;
    const auto all = more + (1.0 - more) * share;
    cr_assert_geq(share, all / 4 - 1e-9);
    // It needs no more than a third of what the more urgent ones need.
    cr_assert_leq((1.0 - more) * share, more / 3);
  }
  cr_assert(
    Near(Levels({}, { { 0, 1.0 }, { 2, 0.0 } }, 1.0).at(0).minShare, 0.0));
}

// Guards against a minimum share that favours some kind of request.
Test(levels, draw_the_minimum_share_by_the_request_id)
{
  const UrgencyLevel level{ .fraction = 0.8, .ramp = 0.2, .minShare = 0.3 };
  constexpr int kRequests = 10000;
  int drawn = 0;
  double sum = 0.0;
  for (int number = 0; number < kRequests; ++number) {
    const RequestId id{ "q" + std::to_string(number) };
    const auto one = DrawLevel({}, level, id);
    drawn += one.inMinShare ? 1 : 0;
    sum += one.inMinShare ? 0.0 : one.fraction;
    cr_assert(one.inMinShare ? Near(one.fraction, 0.95)
                             : one.fraction > 0.6 && one.fraction <= 0.8);
  }
  cr_assert(drawn > 2850 && drawn < 3150);
  const auto mean = sum / (kRequests - drawn);
  cr_assert(mean > 0.695 && mean < 0.705);
}

// Guards against a caller that claims any number of tokens and makes the demand
// of its urgency overflow or vanish.
Test(append_demand, bounds_the_tokens_that_a_request_claims)
{
  auto state = MakeShortage();
  CountDemand(state, kService, 1, 1e18, kNow);
  CountDemand(state, kService, 1, -1e18, kNow);
  std::vector<usage::ServiceUsage> services;
  AppendDemand(state, kNow + 1s, services);
  cr_assert_eq(services.size(), 1U);
  const auto rate = services.front().byUrgency.front().kvPerSecond;
  cr_expect_gt(rate, 0.0);
  cr_expect_leq(rate, 500000.0);
}

// Guards against reports that leave demand out, or hide a limit of rates.
Test(append_demand, reports_tokens_per_second_by_urgency)
{
  auto state = MakeShortage();
  for (int request = 0; request < 17; ++request) {
    CountDemand(state, kService, 1, 1000.0, kNow);
  }
  std::vector<usage::ServiceUsage> services{ { .service = kService,
                                               .demand = 3.0 } };
  AppendDemand(state, kNow + 1s, services);
  cr_assert_eq(services.size(), 1U);
  cr_assert(Near(services.front().demand, 3.0));
  cr_assert_eq(services.front().byUrgency.size(), 1U);
  cr_assert_eq(services.front().byUrgency.front().urgency, 1U);
  cr_assert(Near(services.front().byUrgency.front().kvPerSecond, 8000.0));
  services.clear();
  AppendDemand(state, kNow + 5s, services);
  cr_assert(services.empty());
}
