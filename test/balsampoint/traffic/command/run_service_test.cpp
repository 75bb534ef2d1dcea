#include "balsampoint/traffic/command/run_service.hpp"

#include "balsampoint/ledger/command/apply.hpp"
#include "fake/clock.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::traffic;
using retry::AttemptResult;

namespace {

using namespace std::chrono_literals;

/** @brief Ends each attempt as a list says. */
struct Client
{
  std::vector<AttemptResult> results;
  std::size_t calls{};

  ServiceReply Call(const std::string& /*aAddress*/, Instant /*aDeadline*/)
  {
    const auto result = results.at(calls++);
    return { .result = result,
             .answer = { .status = 200, .body = "ok" },
             .error = MakeError(result == AttemptResult::NotSent
                                  ? ErrorKind::NoServer
                                  : ErrorKind::BackendFailed,
                                "failed") };
  }
};

/** @brief Grants every attempt and keeps a table in reach, or out of it. */
struct Control
{
  ledger::Table table;
  bool reachable{ true };
  bool recordsReachable{ true };
  std::vector<std::size_t> failedGiven;
  std::vector<ledger::Command> later;

  tl::expected<retry::AttemptGranted, Error> Want(
    const retry::AttemptRequested& aWanted)
  {
    failedGiven.push_back(aWanted.failed.size());
    return retry::AttemptGranted{
      .server = ServerId{ std::to_string(failedGiven.size()) },
    };
  }

  void End(const retry::AttemptEnded& /*aEnded*/) {}

  tl::expected<ledger::Outcome, ledger::CommandFailed> Run(
    const ledger::Propose& aPropose)
  {
    const bool record =
      std::holds_alternative<ledger::Record>(aPropose.command);
    if (!reachable || (record && !recordsReachable)) {
      return tl::unexpected(ledger::CommandFailed{
        .error = MakeError(ErrorKind::ControlUnavailable, "") });
    }
    return ledger::Apply(table, aPropose.command);
  }

  void Run(const ledger::ProposeDetached& aDetached)
  {
    later.push_back(aDetached.command);
  }

  void Run(const ledger::Wait& /*aWait*/) {}
};

struct Scene
{
  Client client;
  Control control;
  fake::Clock clock;
  ServiceCall call{ .deadline = Instant{ 1h } };
  std::uint64_t claims{};

  tl::expected<ledger::StoredAnswer, Error> Run()
  {
    return BasicServiceRun{ client, control, clock, call }.Run();
  }

  tl::expected<ledger::StoredAnswer, Error> RunKeyed()
  {
    return BasicServiceRun{ client, control, clock, call }.RunKeyed(
      { .key = { .value = "k" }, .digest = {}, .id = { .number = ++claims } });
  }
};

} // namespace

Test(run_service, idempotent_call_moves_to_another_server)
{
  Scene scene;
  scene.call.idempotent = true;
  scene.client.results = { AttemptResult::Broken, AttemptResult::Answered };
  cr_assert(scene.Run()->body == "ok");
  cr_assert_eq(scene.control.failedGiven.back(), 1);
}

Test(run_service, non_idempotent_call_is_sent_once_if_a_byte_may_have_left)
{
  Scene scene;
  scene.client.results = { AttemptResult::NotSent, AttemptResult::Broken };
  cr_assert_eq(scene.Run().error().executed, Executed::Unknown);
  cr_assert_eq(scene.client.calls, 2);
}

Test(run_service, refused_connection_after_a_broken_one_is_not_called_not_run)
{
  Scene scene;
  scene.call.idempotent = true;
  scene.client.results = { AttemptResult::Broken,
                           AttemptResult::NotSent,
                           AttemptResult::NotSent };
  cr_assert_eq(scene.Run().error().executed, Executed::Unknown);
}

Test(run_service, call_past_its_deadline_is_not_sent)
{
  Scene scene;
  scene.clock.Advance(2h);
  cr_assert_eq(scene.Run().error().executed, Executed::No);
  cr_assert_eq(scene.client.calls, 0);
}

Test(run_service, repeat_of_a_keyed_call_gets_the_first_answer)
{
  Scene scene;
  scene.client.results = { AttemptResult::Answered };
  cr_assert(scene.RunKeyed()->body == "ok");
  cr_assert(scene.RunKeyed()->body == "ok");
  cr_assert_eq(scene.client.calls, 1);
}

Test(run_service, repeat_of_a_broken_keyed_call_is_told_that_it_is_unknown)
{
  Scene scene;
  scene.client.results = { AttemptResult::Broken };
  cr_assert_eq(scene.RunKeyed().error().executed, Executed::Unknown);
  cr_assert_eq(scene.RunKeyed().error().kind, ErrorKind::OutcomeUnknown);
  cr_assert_eq(scene.client.calls, 1);
}

Test(run_service, keyed_call_never_runs_without_a_durable_claim)
{
  Scene scene;
  scene.control.reachable = false;
  const auto answer = scene.RunKeyed();
  cr_assert_eq(answer.error().kind, ErrorKind::ControlUnavailable);
  cr_assert_eq(answer.error().executed, Executed::No);
  cr_assert_eq(scene.client.calls, 0);
}

Test(run_service, answer_reaches_the_caller_when_its_record_does_not)
{
  Scene scene;
  scene.control.recordsReachable = false;
  scene.client.results = { AttemptResult::Answered };
  cr_assert(scene.RunKeyed()->body == "ok");
  cr_assert_eq(scene.control.later.size(), 1);
}
