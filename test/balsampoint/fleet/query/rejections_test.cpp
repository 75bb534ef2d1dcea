#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/fleet/command/set_remote_usage.hpp"
#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/fixture.hpp"
#include "balsampoint/fleet/query/choose_chain.hpp"
#include "balsampoint/fleet/query/make_local_usage.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::fleet;
using namespace balsampoint::test;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 1h };

const ServiceId kService{ "verse" };
const ServerId kLost{ "a1" };

/** Two engines with all layers, of which the first one is faster. */
State
TwoEngines()
{
  return MakeFleet({ MakeEngine("a1", "a", { 0, 8 }),
                     MakeEngine("a2", "a", { 0, 8 }, "slow") });
}

/** What a host reports of rejections. */
usage::RemoteUsage
Report(Duration aAge, double aFill)
{
  return { .servers = { { .server = kLost,
                          .rejection = usage::Rejection{ aAge, aFill } } } };
}

/** Part of many choices, at one time, that go to the first engine. */
double
PartToFirst(const State& aState, Instant aNow)
{
  constexpr int kChoices = 400;
  SplitMix64 random{ 3 };
  int first = 0;
  for (int choice = 0; choice < kChoices; ++choice) {
    const auto chain = ChooseChain(aState,
                                   { .service = kService,
                                     .promptTokens = 100.0,
                                     .answerTokens = 40.0,
                                     .randomSample = random.Next() },
                                   aNow);
    first += chain && chain->hops.front().server == kLost ? 1 : 0;
  }
  return static_cast<double>(first) / kChoices;
}

} // namespace

// Guards against hundreds of rejected requests while each of many hosts finds
// out by itself that a server in the middle of chains is lost.
Test(rejections, a_host_avoids_a_server_that_has_rejected_requests_of_others)
{
  auto state = TwoEngines();
  cr_assert_eq(PartToFirst(state, kNow), 1.0);
  SetRemoteUsage(state, Report(100ms, 0.05), kNow);
  cr_assert_eq(PartToFirst(state, kNow + 150ms), 0.0);
  const auto later = PartToFirst(state, kNow + 800ms);
  cr_assert(later > 0.05 && later < 0.6, "%f", later);
  cr_assert_eq(PartToFirst(state, kNow + 1500ms), 1.0);
}

// Guards against a server that is back and stays without work because of what
// hosts have reported before.
Test(rejections, a_request_that_begins_ends_the_avoidance)
{
  auto state = TwoEngines();
  const auto chain =
    ChooseChain(state, { .service = kService, .promptTokens = 1.0 }, kNow);
  SetRemoteUsage(state, Report(100ms, 0.05), kNow);
  Reservation reservation;
  RecordEvent(state, kService, chain->hops, reservation, {}, kNow + 50ms);
  SetRemoteUsage(state, Report(200ms, 0.05), kNow + 100ms);
  cr_assert_eq(PartToFirst(state, kNow + 150ms), 1.0);
}

// Guards against hosts that fill a server again at once up to a level at which
// it has just rejected requests: answers outgrow what was reserved for them.
Test(rejections, a_server_short_of_kv_is_filled_less_and_regains_its_level)
{
  auto state = TwoEngines();
  // Without the random weight, which prefers no server among nearly full ones.
  state.settings.fullSpread = 0.0;
  const auto capacity = state.groups.at(kService).servers.at(kLost).kvCapacity;
  auto report = Report(0ms, 0.8);
  report.servers.front().kv = 0.8 * capacity;
  SetRemoteUsage(state, report, kNow);
  cr_assert_eq(PartToFirst(state, kNow + 1ms), 0.0);
  report.servers.front().kv = 0.6 * capacity;
  SetRemoteUsage(state, report, kNow + 10ms);
  cr_assert_eq(PartToFirst(state, kNow + 11ms), 1.0);
  report.servers.front().kv = 0.8 * capacity;
  report.servers.front().rejection->age = 4s;
  SetRemoteUsage(state, report, kNow + 4s);
  cr_assert_eq(PartToFirst(state, kNow + 4s), 1.0);
}

// Guards against rejections that other hosts don't learn of, and against
// reports that repeat old ones for ever.
Test(rejections, a_host_reports_what_it_has_met_for_a_while)
{
  auto state = TwoEngines();
  RecordOutcome(state, kService, "a1:80", RequestOutcome::Full, kNow);
  const auto use = MakeLocalUsage(state, kNow + 200ms);
  cr_assert_eq(use.servers.size(), 1U);
  cr_assert(use.servers.front().rejection->age == 200ms);
  cr_assert(MakeLocalUsage(state, kNow + 2s).servers.empty());
}
