#include "../harness.hpp"
#include "fake/random.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace balsampoint;
using fake::CallFault;
using fake::DraftRequest;
using fake::Driver;
using stream::FailureKind;

namespace {

constexpr std::uint32_t kTokens = 12;

/** Rates of injected faults, per 1,000 events. */
struct Rates
{
  std::uint32_t callFails{};
  std::uint32_t restarts{};
  std::uint32_t duplicates{};
};

void
AddRandomServers(Driver& aDriver, fake::Random& aRandom)
{
  constexpr std::uint32_t kLayers = 12;
  const auto copies = 1 + aRandom.Next() % 4;
  for (std::uint64_t copy = 0; copy < copies; ++copy) {
    const auto zone = "zone-" + std::to_string(copy % 3);
    for (std::uint32_t begin = 0; begin < kLayers;) {
      const auto end = std::min<std::uint32_t>(
        kLayers, begin + 1 + static_cast<std::uint32_t>(aRandom.Next() % 6));
      const auto overlap = static_cast<std::uint32_t>(aRandom.Next() % 3);
      aDriver.AddServer("s" + std::to_string(copy) + "-" +
                          std::to_string(begin),
                        { begin, std::min(kLayers, end + overlap) },
                        zone);
      begin = end;
    }
  }
}

/** Delivers a stale event and checks that only a counter changes. */
void
DeliverStale(Driver& aDriver, const stream::Event& aEvent)
{
  auto state = aDriver.state;
  const auto& pending = state.progress.pending;
  const auto dropped = state.progress.counters.droppedReplies;
  const auto attempt = state.progress.attempt;
  const auto phase = state.progress.phase;
  std::vector<stream::Action> actions;
  if (std::holds_alternative<stream::RouteChosen>(aEvent) &&
      phase == stream::Phase::Choosing) {
    return;
  }
  const auto before = pending;
  stream::Handle(state, aEvent, aDriver.clock.Now(), actions);
  RC_ASSERT(actions.empty());
  RC_ASSERT(state.progress.phase == phase);
  RC_ASSERT(state.progress.attempt == attempt);
  RC_ASSERT(state.progress.pending.has_value() == before.has_value());
  RC_ASSERT(state.progress.outputs == aDriver.state.progress.outputs);
  if (phase != stream::Phase::Ended) {
    RC_ASSERT(state.progress.counters.droppedReplies == dropped + 1);
  }
  aDriver.state = state;
}

/** The same reply with the id of another request. */
stream::Event
WithOtherRequest(stream::Event aEvent)
{
  const RequestId other{ "draft-2" };
  if (auto* step = std::get_if<stream::StepReplied>(&aEvent)) {
    step->reply.id.request = other;
  } else if (auto* replay = std::get_if<stream::ReplayReplied>(&aEvent)) {
    replay->reply.id.request = other;
  } else if (auto* failed = std::get_if<stream::CallFailed>(&aEvent)) {
    failed->id.request = other;
  }
  return aEvent;
}

void
InjectFaults(Driver& aDriver, fake::Random& aRandom, const Rates& aRates)
{
  if (aRandom.Next() % 1000 < aRates.duplicates) {
    const auto& past = aDriver.history;
    const auto event = past[aRandom.Next() % past.size()];
    DeliverStale(aDriver, event);
    DeliverStale(aDriver, WithOtherRequest(event));
  }
  for (const auto& event : std::exchange(aDriver.late, {})) {
    DeliverStale(aDriver, event);
  }
  if (aRandom.Next() % 1000 < aRates.restarts) {
    const auto at = aRandom.Next() % aDriver.graph.nodes.size();
    const auto server = aDriver.graph.nodes[at].stage.server;
    aDriver.Restart(server, aRandom.Next() % 2 == 0);
  }
}

void
CheckAnswer(std::uint64_t aSeed, const Rates& aRates)
{
  fake::Random random{ aSeed };
  Driver driver;
  AddRandomServers(driver, random);
  for (const auto& node : driver.graph.nodes) {
    driver.restarts.emplace(node.stage.server, 1);
  }
  driver.fault = [&](const auto&, const auto&) -> std::optional<CallFault> {
    if (random.Next() % 1000 >= aRates.callFails) {
      return std::nullopt;
    }
    return CallFault{ .kind = static_cast<FailureKind>(random.Next() % 3),
                      .runs = random.Next() % 2 == 0 };
  };
  driver.afterEvent = [&](Driver& aDriver) {
    InjectFaults(aDriver, random, aRates);
  };
  const std::uint64_t positions = random.Next() % 40;
  driver.Run(DraftRequest(kTokens),
             { .maxLosses = 1000,
               .keptActivationBytes = positions * 16384,
               .kvBytesPerSecond = random.Next() % 2 == 0 ? 1e12 : 1e6 });
  const auto expected = fake::ExpectedAnswer("In memory of", 12, kTokens);
  RC_CLASSIFY(driver.finished);
  RC_ASSERT(driver.finished != driver.error.has_value());
  RC_ASSERT(expected.starts_with(driver.text));
  RC_ASSERT(!driver.finished || driver.text == expected);
}

void
Check(const char* aName, const Rates& aRates)
{
  setenv("RC_PARAMS", "seed=5 max_success=400", 1);
  cr_assert(rc::check(aName, [&aRates] {
    CheckAnswer(*rc::gen::arbitrary<std::uint64_t>(), aRates);
  }));
}

} // namespace

Test(fault_injection, late_duplicate_and_misrouted_replies_are_dropped)
{
  Check("replies only", { .callFails = 50, .duplicates = 300 });
}

Test(fault_injection, losses_and_restarts_at_any_time_never_corrupt_the_answer)
{
  Check("losses and restarts",
        { .callFails = 60, .restarts = 20, .duplicates = 100 });
}

Test(fault_injection, frequent_failures_end_in_a_complete_answer_or_an_error)
{
  Check("constant trouble",
        { .callFails = 400, .restarts = 100, .duplicates = 100 });
}
