#include "balsampoint/fleet/command/set_remote_usage.hpp"
#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/fixture.hpp"
#include "balsampoint/fleet/query/choose_chain.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::fleet;
using namespace balsampoint::test;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 1h };
constexpr std::uint32_t kHosts = 80;

const ServiceId kService{ "verse" };

/** Engines of which no zone has all layers, and a link that passes 30,000
 * tokens a second. */
State
DividedModel()
{
  auto state = MakeFleet(
    { MakeEngine("a1", "a", { 0, 4 }), MakeEngine("b1", "b", { 4, 8 }) });
  auto& engine = *state.groups.at(kService).engine;
  engine.zoneLinkMbps = 7200.0;
  engine.activationBytes = 30000.0;
  return state;
}

Demand
TypicalDemand()
{
  return { .service = kService, .promptTokens = 800.0, .answerTokens = 200.0 };
}

} // namespace

// Guards against a zone without room whose demand all goes through the link to
// other zones: a prompt takes 24 MB of it, and once it is full every stream
// through it pauses until its caller leaves.
Test(zone_link, all_hosts_together_fill_a_part_of_the_link)
{
  auto state = DividedModel();
  SetRemoteUsage(state, { .hosts = kHosts - 1 }, kNow);
  double tokens = 0.0;
  constexpr auto kPeriod = 40s;
  for (auto now = kNow; now < kNow + kPeriod; now += 100ms) {
    const auto chain = ChooseChain(state, TypicalDemand(), now);
    if (!chain) {
      continue;
    }
    const Reservation reservation{ chain->tokens, chain->promptTokens };
    CountZoneTokens(state, kService, chain->hops, reservation, now);
    tokens += chain->tokens;
  }
  const auto perSecond = tokens * kHosts / kPeriod.count();
  cr_assert(perSecond > 0.2 * 30000.0 && perSecond < 0.8 * 30000.0,
            "%f tokens per second",
            perSecond);
}

// Guards against streams that end with a lost server although another chain is
// left.
Test(zone_link, an_attempt_after_a_fault_takes_any_chain)
{
  auto state = DividedModel();
  SetRemoteUsage(state, { .hosts = kHosts - 1 }, kNow);
  const auto chain = ChooseChain(state, TypicalDemand(), kNow);
  const Reservation reservation{ chain->tokens, chain->promptTokens };
  CountZoneTokens(state, kService, chain->hops, reservation, kNow);
  cr_assert_not(ChooseChain(state, TypicalDemand(), kNow).has_value());
  auto demand = TypicalDemand();
  demand.failed = { ServerId{ "a9" } };
  cr_assert(ChooseChain(state, demand, kNow).has_value());
}
