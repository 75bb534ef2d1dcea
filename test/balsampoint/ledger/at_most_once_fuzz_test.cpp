#include "fake/ledger_world.hpp"

#include <criterion/criterion.h>
#include <cstdlib>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace balsampoint;
using fake::LedgerWorld;

namespace {

constexpr std::size_t kHosts = 3;

/** @brief Model state; all checks are invariants of `LedgerWorld`. */
struct Oracle
{
  std::size_t requests{};
};

using Step = rc::state::Command<Oracle, LedgerWorld>;

void
CheckInvariants(const LedgerWorld& aWorld)
{
  for (const auto& violation : aWorld.Violations()) {
    RC_FAIL(violation);
  }
}

struct Submit : Step
{
  unsigned host = *rc::gen::inRange(0U, 3U);
  unsigned key = *rc::gen::inRange(0U, 3U);
  unsigned body = *rc::gen::inRange(0U, 2U);

  void apply(Oracle& aOracle) const override { ++aOracle.requests; }

  void run(const Oracle& /*aOracle*/, LedgerWorld& aWorld) const override
  {
    aWorld.Submit(host, key, body);
    CheckInvariants(aWorld);
  }

  void show(std::ostream& aStream) const override
  {
    aStream << "Submit(" << host << ", " << key << ", " << body << ")";
  }
};

/** @brief Any other event; `choice` selects the host or message affected. */
struct Event : Step
{
  unsigned kind = *rc::gen::inRange(0U, 15U);
  unsigned choice = *rc::gen::inRange(0U, 8U);

  void apply(Oracle& /*aOracle*/) const override {}

  void run(const Oracle& /*aOracle*/, LedgerWorld& aWorld) const override
  {
    constexpr unsigned kDeliveries = 4;
    constexpr unsigned kFates = 9;
    if (kind < kDeliveries) {
      aWorld.Decide(choice, static_cast<fake::Delivery>(kind));
    } else if (kind < kFates) {
      aWorld.EndDispatch(choice,
                         static_cast<fake::ServerFate>(kind - kDeliveries));
    } else if (kind == kFates) {
      aWorld.TimeOutProposal(choice);
    } else if (kind == kFates + 1) {
      aWorld.RunLate(choice);
    } else if (kind == kFates + 2) {
      aWorld.Crash(choice);
    } else {
      constexpr std::array kSteps{ std::chrono::seconds{ 1 },
                                   std::chrono::seconds{ 90 },
                                   std::chrono::seconds{ 4000 } };
      aWorld.PassTime(choice, kSteps[kind - kFates - 3]);
    }
    CheckInvariants(aWorld);
  }

  void show(std::ostream& aStream) const override
  {
    aStream << "Event(" << kind << ", " << choice << ")";
  }
};

ledger::Bounds
SmallBounds()
{
  ledger::Bounds bounds;
  bounds.retention = std::chrono::hours{ 1 };
  bounds.maxEntries = 2;
  return bounds;
}

} // namespace

Test(at_most_once_fuzz,
     call_of_a_key_executes_at_most_once_and_refusals_are_accurate)
{
  setenv("RC_PARAMS", "seed=20261204 max_success=3000 max_size=120", 0);
  const auto held = rc::check([] {
    LedgerWorld world{ kHosts, SmallBounds() };
    rc::state::check(Oracle{},
                     world,
                     rc::state::gen::execOneOfWithArgs<Submit, Event, Event>());
    world.Settle();
    CheckInvariants(world);
  });
  cr_assert(held);
}
