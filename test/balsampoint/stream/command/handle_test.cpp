#include "../harness.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using fake::CallFault;
using fake::DraftRequest;
using fake::Driver;
using stream::Loss;

namespace {

constexpr std::uint32_t kTokens = 20;

void
AddThreeStages(Driver& aDriver)
{
  aDriver.AddServer("s1", { 0, 4 });
  aDriver.AddServer("s2", { 4, 8 });
  aDriver.AddServer("s3", { 8, 12 });
}

void
AssertWhole(const Driver& aDriver, std::uint32_t aTokens = kTokens)
{
  cr_assert(aDriver.finished);
  cr_assert_not(aDriver.error.has_value());
  cr_assert_eq(aDriver.text, fake::ExpectedAnswer("In memory of", 12, aTokens));
}

/** Fails each call to some servers from a position on. */
auto
FailFrom(std::uint64_t aStep, std::vector<std::string> aServers, Loss aLoss)
{
  return [=](const stream::Target& aTarget,
             const stream::CallId& aId) -> std::optional<CallFault> {
    if (aId.step.Value() < aStep ||
        std::ranges::find(aServers, aTarget.server.String()) ==
          aServers.end()) {
      return std::nullopt;
    }
    return CallFault{ .loss = aLoss };
  };
}

} // namespace

Test(handle, answer_equals_the_arithmetic_over_any_chain)
{
  const std::vector<std::vector<std::uint32_t>> chains{
    { 12 }, { 4, 12 }, { 1, 2, 3, 12 }, { 5, 7, 11, 12 }
  };
  for (const auto& ends : chains) {
    Driver driver;
    std::uint32_t begin = 0;
    for (const auto end : ends) {
      driver.AddServer("s" + std::to_string(end), { begin, end });
      begin = end;
    }
    driver.Run(DraftRequest(kTokens));
    AssertWhole(driver);
    cr_assert_eq(driver.steps, kTokens * ends.size());
    for (const auto& [server, engine] : driver.engines) {
      cr_assert_eq(engine.Requests(), 0);
    }
  }
}

Test(handle, lost_stage_is_replaced_and_only_its_range_is_replayed)
{
  Driver driver;
  AddThreeStages(driver);
  driver.AddServer("t2a", { 4, 6 });
  driver.AddServer("t2b", { 6, 8 });
  driver.fault = FailFrom(7, { "s2" }, Loss::ConnectionLost);
  driver.Run(DraftRequest(kTokens));
  AssertWhole(driver);
  const auto& counters = driver.state.progress.counters;
  cr_assert_eq(counters.losses, 1);
  cr_assert_eq(counters.replays, 2);
  cr_assert_eq(counters.replayedPositions, 14);
}
