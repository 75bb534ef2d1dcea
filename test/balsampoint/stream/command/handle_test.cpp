#include "../harness.hpp"

#include <algorithm>
#include <criterion/criterion.h>

using namespace balsampoint;
using fake::CallFault;
using fake::DraftRequest;
using fake::Driver;
using stream::FailureKind;

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

/** Fails each call to the given servers from a position onwards. */
auto
FailFrom(std::uint64_t aStep,
         std::vector<std::string> aServers,
         FailureKind aKind)
{
  return [=](const stream::Target& aTarget,
             const stream::CallId& aId) -> std::optional<CallFault> {
    if (aId.step.Value() < aStep ||
        std::ranges::find(aServers, aTarget.server.String()) ==
          aServers.end()) {
      return std::nullopt;
    }
    return CallFault{ .kind = aKind };
  };
}

} // namespace

Test(handle, answer_is_the_same_over_any_chain)
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
  driver.fault = FailFrom(7, { "s2" }, FailureKind::ConnectionLost);
  driver.Run(DraftRequest(kTokens));
  AssertWhole(driver);
  const auto& counters = driver.state.progress.counters;
  cr_assert_eq(counters.losses, 1);
  cr_assert_eq(counters.replays, 2);
  cr_assert_eq(counters.replayedPositions, 14);
}

Test(handle, two_stages_and_a_replacement_lost_together)
{
  Driver driver;
  AddThreeStages(driver);
  driver.afterEvent = [](Driver& aDriver) {
    if (aDriver.history.size() == 3) {
      aDriver.AddServer("t2", { 2, 9 });
      aDriver.AddServer("t3", { 8, 12 });
      aDriver.AddServer("u2", { 3, 8 });
    }
  };
  driver.fault = FailFrom(5, { "s2", "s3", "t2" }, FailureKind::ConnectionLost);
  driver.Run(DraftRequest(kTokens));
  AssertWhole(driver);
  cr_assert_eq(driver.state.progress.counters.losses, 3);
}

Test(handle, waits_for_a_server_when_the_last_one_of_a_range_is_lost)
{
  Driver driver;
  AddThreeStages(driver);
  driver.fault = FailFrom(5, { "s2" }, FailureKind::ConnectionLost);
  driver.onWaitTimeout = [](Driver& aDriver) {
    aDriver.AddServer("t2", { 4, 8 });
  };
  driver.Run(DraftRequest(kTokens));
  AssertWhole(driver);
}

Test(handle, answer_fails_when_no_server_holds_a_range)
{
  Driver driver;
  AddThreeStages(driver);
  driver.fault = FailFrom(5, { "s2" }, FailureKind::ConnectionLost);
  driver.Run(DraftRequest(kTokens));
  cr_assert_not(driver.finished);
  cr_assert(driver.error.has_value());
  cr_assert_eq(driver.error->executed, Executed::Unknown);
  cr_assert_eq(driver.text, fake::ExpectedAnswer("In memory of", 12, 5));
}

Test(handle, failure_before_any_call_is_reported_as_not_executed)
{
  Driver driver;
  driver.AddServer("s1", { 0, 4 });
  driver.Run(DraftRequest(kTokens));
  cr_assert_eq(driver.error->kind, ErrorKind::NoServer);
  cr_assert_eq(driver.error->executed, Executed::No);
}

Test(handle, zone_is_avoided_after_the_loss_of_two_of_its_servers)
{
  Driver driver;
  for (const auto* const zone : { "a", "b" }) {
    for (std::uint32_t stage = 0; stage < 3; ++stage) {
      for (const auto* const copy : { "1", "2", "3" }) {
        driver.AddServer(zone + std::to_string(stage) + copy,
                         { stage * 4, stage * 4 + 4 },
                         zone);
      }
    }
  }
  driver.fault = [](const auto& aTarget, const auto& aId) {
    const auto lost =
      aId.step.Value() >= 5 && aTarget.server.String().front() == 'a';
    return lost
             ? std::optional{ CallFault{ .kind = FailureKind::ConnectionLost } }
             : std::nullopt;
  };
  driver.Run(DraftRequest(kTokens));
  AssertWhole(driver);
  cr_assert_eq(driver.state.progress.counters.losses, 4);
}

Test(handle, slow_stage_is_replaced_at_a_deadline_derived_from_its_step_times)
{
  Driver driver;
  AddThreeStages(driver);
  driver.AddServer("t2", { 4, 8 });
  driver.stepTime = std::chrono::milliseconds{ 12 };
  driver.fault = FailFrom(9, { "s2" }, FailureKind::DeadlinePassed);
  driver.Run(DraftRequest(kTokens));
  AssertWhole(driver);
  cr_assert_eq(driver.state.progress.counters.losses, 1);
  const auto calls = 3 * kTokens + 1;
  const auto detection =
    driver.clock.Now() - Instant{} - calls * driver.stepTime;
  cr_assert(detection <= std::chrono::milliseconds{ 100 });
}

Test(handle, slow_stage_gets_a_longer_deadline_when_no_other_server_exists)
{
  Driver driver;
  AddThreeStages(driver);
  driver.fault = [failed =
                    0](const auto& aTarget,
                       const auto& aId) mutable -> std::optional<CallFault> {
    if (aTarget.server.Value() != "s2" || aId.step.Value() != 9 ||
        ++failed > 2) {
      return std::nullopt;
    }
    return CallFault{ .kind = FailureKind::DeadlinePassed, .runs = true };
  };
  driver.Run(DraftRequest(kTokens));
  AssertWhole(driver);
}

Test(handle, an_abandoned_step_that_runs_late_changes_nothing)
{
  Driver driver;
  driver.AddServer("only", { .begin = 0, .end = 12 });
  std::uint64_t calls = 0;
  driver.fault = [&calls](const auto&, const auto&) {
    constexpr std::uint64_t kEvery = 5;
    std::optional<fake::CallFault> fault;
    if (++calls % kEvery == 0) {
      fault =
        CallFault{ .kind = FailureKind::DeadlinePassed, .runsLate = true };
    }
    return fault;
  };
  driver.Run(DraftRequest(12));
  AssertWhole(driver, 12);
}

Test(handle, kv_is_imported_when_estimated_to_be_faster_than_a_replay)
{
  for (const auto bandwidth : { 1e12, 1e3 }) {
    Driver driver;
    AddThreeStages(driver);
    driver.AddServer("t2a", { 4, 6 });
    driver.AddServer("t2b", { 6, 8 });
    driver.fault = FailFrom(300, { "s2" }, FailureKind::DeadlinePassed);
    driver.Run(DraftRequest(310), { .kvBytesPerSecond = bandwidth });
    AssertWhole(driver, 310);
    const auto& counters = driver.state.progress.counters;
    cr_assert_eq(counters.imports, bandwidth > 1e6 ? 2 : 0);
    cr_assert_eq(counters.replays, bandwidth > 1e6 ? 0 : 2);
  }
}

Test(handle, failed_import_is_followed_by_a_replay)
{
  Driver driver;
  AddThreeStages(driver);
  driver.AddServer("t2a", { 4, 6 });
  driver.AddServer("t2b", { 6, 8 });
  driver.fault = [](const auto& aTarget,
                    const auto& aId) -> std::optional<CallFault> {
    if (aId.step.Value() != 300 || aTarget.server.Value() != "s2") {
      return std::nullopt;
    }
    return CallFault{ .kind = FailureKind::DeadlinePassed, .runs = true };
  };
  driver.Run(DraftRequest(310), { .kvBytesPerSecond = 1e12 });
  AssertWhole(driver, 310);
  cr_assert_eq(driver.state.progress.counters.imports, 1);
  cr_assert_eq(driver.state.progress.counters.replays, 2);
}

Test(handle, inputs_beyond_the_limit_are_dropped_and_recomputed)
{
  for (const std::uint64_t positions : { 0, 5, 25, 1000 }) {
    Driver driver;
    AddThreeStages(driver);
    driver.AddServer("t3a", { 8, 10 });
    driver.AddServer("t3b", { 9, 12 });
    driver.fault = FailFrom(12, { "s3" }, FailureKind::ConnectionLost);
    driver.Run(DraftRequest(kTokens),
               { .keptActivationBytes = positions * 16384 });
    AssertWhole(driver);
    const auto replays = driver.state.progress.counters.replays;
    cr_assert_eq(replays, positions < 24 ? 4 : 2);
  }
}

Test(handle, restart_behind_a_reused_connection_is_detected_from_the_reply)
{
  Driver driver;
  AddThreeStages(driver);
  driver.AddServer("t2", { 4, 8 });
  driver.afterEvent = [](Driver& aDriver) {
    if (aDriver.history.size() == 20) {
      aDriver.Restart(ServerId{ "s2" }, false);
    }
  };
  driver.Run(DraftRequest(kTokens));
  AssertWhole(driver);
  cr_assert_eq(driver.state.progress.counters.losses, 1);
}

Test(handle, passed_deadline_or_closed_caller_cancels_the_answer_on_all_servers)
{
  for (const bool deadline : { false, true }) {
    Driver driver;
    AddThreeStages(driver);
    driver.afterEvent = [deadline](Driver& aDriver) {
      if (aDriver.history.size() == 20) {
        aDriver.Deliver(deadline ? stream::Event{ stream::DeadlinePassed{} }
                                 : stream::Event{ stream::CallerGone{} });
      }
    };
    driver.Run(DraftRequest(kTokens));
    cr_assert_not(driver.finished);
    cr_assert_eq(driver.error->kind,
                 deadline ? ErrorKind::DeadlineExceeded : ErrorKind::Cancelled);
    for (const auto& [server, engine] : driver.engines) {
      cr_assert_eq(engine.Requests(), 0);
    }
  }
}
