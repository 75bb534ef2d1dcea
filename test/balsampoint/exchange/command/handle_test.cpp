#include "balsampoint/exchange/command/handle.hpp"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace balsampoint;
using namespace balsampoint::exchange;
using namespace std::chrono_literals;

namespace {

/** @brief Surroundings that allow everything or nothing. */
struct FixedSurroundings
{
  bool allows{ true };
  bool quarantined{ false };

  // NOLINTBEGIN(readability-convert-member-functions-to-static)
  bool TakeRetry(forward::RetryPurpose /*aPurpose*/) { return allows; }
  void RecordBreak(const fleet::Hop& /*aServer*/, ServerBreak /*aBreak*/) {}
  [[nodiscard]] bool MayRetry() const { return allows; }
  [[nodiscard]] bool MayResume() const { return allows; }
  [[nodiscard]] bool MustWait() const { return false; }
  [[nodiscard]] bool MayRepeat() const { return allows; }
  [[nodiscard]] bool InQuarantine() const { return quarantined; }
  [[nodiscard]] Duration RepeatDelay() const { return 100ms; }
  bool HasRoom(const std::set<ServerId>& /*aFailed*/,
               const std::set<ServerId>& /*aReceivers*/)
  {
    return allows;
  }
  // NOLINTEND(readability-convert-member-functions-to-static)
};

const Instant kStart{ 10s };

forward::AnswerClaims
OwnClaims()
{
  return { .status = 200,
           .namedRequests = 1,
           .namesThisRequest = true,
           .authenticationCodes = 1 };
}

/** @brief One event of each type, in the order of the variant, each with the
 * content that has an effect in the phases that expect it. */
std::vector<Event>
OneOfEach()
{
  const std::vector<fleet::Hop> hops{
    { .server = ServerId{ "s2" }, .address = "2", .layers = { 0, 1 } }
  };
  return {
    Accepted{ routing::RequestKind::ResumableStream, kStart + 20s, 2 },
    Rejected{},
    ServersChosen{ hops },
    NoServers{},
    QueueTurn{},
    QueueRefused{},
    Connected{},
    ConnectionLost{},
    BreakProbed{ .refuses = true, .restarted = true },
    LinkChecked{ .reached = true },
    LinkChanged{ .usesDetours = true },
    LinkSilenceTime{},
    RetryTime{},
    ResumeTime{},
    DeadlinePassed{},
    ServerLost{ ServerId{ "s1" } },
    QuarantineChanged{},
    AnswerRead{ .claims = OwnClaims(), .success = true },
    EventsRead{ .any = true },
    BodyRead{ .verdict = forward::BodyVerdict::Whole, .status = 200 },
    CallerGone{},
  };
}

/** @brief A resumable stream in a phase, at a step. */
State
StateIn(Phase aPhase, Step aStep, WaitReason aReason)
{
  State state{ .phase = aPhase, .step = aStep, .waitReason = aReason };
  state.progress = { .kind = routing::RequestKind::ResumableStream,
                     .sent = 1,
                     .mayHaveRun = true,
                     .deadline = kStart + 20s };
  state.progress.answerStarted =
    aPhase == Phase::Answering || aPhase == Phase::Resuming;
  state.maxReceivers = 2;
  state.attempt.hops = {
    { .server = ServerId{ "s1" }, .address = "1", .layers = { 0, 1 } }
  };
  state.sentAt = kStart;
  state.lastEventAt = kStart;
  state.linkLostAt = kStart + 1ms;
  return state;
}

/** @brief Whether any step or reason to wait of the phase expects the event. */
bool
IsExpected(Phase aPhase, const Event& aEvent)
{
  for (const auto step : { Step::None,
                           Step::Choosing,
                           Step::Connecting,
                           Step::Sent,
                           Step::Probing,
                           Step::CheckingLink }) {
    for (const auto reason :
         { WaitReason::Retry, WaitReason::Room, WaitReason::Queue }) {
      auto state = StateIn(aPhase, step, reason);
      FixedSurroundings surroundings{ .quarantined = true };
      std::vector<Action> actions;
      Handle(state, aEvent, kStart + 50ms, surroundings, actions);
      if (!actions.empty() || state.phase != aPhase || state.step != step) {
        return true;
      }
    }
  }
  return false;
}

/** @brief For each event in the order of the variant, the phases that expect
 * it: Admitted, Waiting, Attempt, Answering, Resuming, Ended. */
constexpr std::array<std::string_view, std::variant_size_v<Event>> kExpected{
  "A-----", // Accepted
  "A-----", // Rejected
  "--T-R-", // ServersChosen
  "--T-R-", // NoServers
  "-W----", // QueueTurn
  "-W----", // QueueRefused
  "--T-R-", // Connected
  "--TSR-", // ConnectionLost
  "--TSR-", // BreakProbed
  "--TSR-", // LinkChecked
  "--TSR-", // LinkChanged
  "--TSR-", // LinkSilenceTime
  "-W----", // RetryTime
  "-W----", // ResumeTime
  "-WTSR-", // DeadlinePassed
  "--TSR-", // ServerLost
  "-WT---", // QuarantineChanged
  "--TSR-", // AnswerRead
  "--TSR-", // EventsRead
  "--T-R-", // BodyRead
  "AWTSR-", // CallerGone
};

} // namespace

// Guards against an event that a phase drops, or acts on, by mistake, and
// against a new event or phase without an entry for each pair.
Test(exchange_handle, each_pair_of_phase_and_event_is_in_the_table)
{
  const auto events = OneOfEach();
  cr_assert_eq(events.size(), kExpected.size());
  for (std::size_t index = 0; index < events.size(); ++index) {
    cr_assert_eq(events[index].index(), index);
    cr_assert_eq(kExpected[index].size(), kPhases, "event %zu", index);
    for (std::size_t phase = 0; phase < kPhases; ++phase) {
      cr_assert_eq(IsExpected(static_cast<Phase>(phase), events[index]),
                   kExpected[index][phase] != '-',
                   "event %zu in phase %zu",
                   index,
                   phase);
    }
  }
}

// Guards against a request that was never sent being refused as failed, and
// against one that leaves the queue twice.
Test(exchange_handle, waits_in_the_queue_and_is_tried_again)
{
  State state;
  FixedSurroundings surroundings;
  std::vector<Action> actions;
  const auto feed = [&](const Event& aEvent) {
    actions.clear();
    Handle(state, aEvent, kStart, surroundings, actions);
  };
  feed(Accepted{ routing::RequestKind::NonIdempotent, kStart + 1s, 2 });
  feed(NoServers{ .mayQueue = true });
  cr_assert(state.phase == Phase::Waiting);
  cr_assert(std::holds_alternative<EnterQueue>(actions.back()));
  feed(QueueTurn{});
  cr_assert(state.phase == Phase::Attempt);
  cr_assert(std::holds_alternative<ChooseServers>(actions.back()));
  feed(NoServers{ .mayQueue = true });
  feed(QueueRefused{ MakeError(ErrorKind::BackendFailed, "full") });
  cr_assert(state.phase == Phase::Ended);
  cr_assert(std::holds_alternative<SendRefusal>(actions.front()));
  const auto& error = std::get<SendRefusal>(actions.front()).error;
  cr_assert(error.kind == ErrorKind::NoServer);
  cr_assert(error.executed == Executed::No);
}

// Guards against a request that goes to the end of the queue, or loses what it
// is refused with, whenever a search for servers fails.
Test(exchange_handle, keeps_its_place_in_the_queue_for_a_search)
{
  State state;
  FixedSurroundings surroundings;
  std::vector<Action> actions;
  const auto feed = [&](const Event& aEvent) {
    actions.clear();
    Handle(state, aEvent, kStart, surroundings, actions);
  };
  feed(Accepted{ routing::RequestKind::Stream, kStart + 1s, 2 });
  feed(NoServers{ MakeError(ErrorKind::NoServer, "no room"), true });
  cr_assert(std::get<EnterQueue>(actions.back()).error.detail == "no room");
  feed(QueueTurn{});
  cr_assert(std::get<LeaveQueue>(actions.front()).keepsPlace);
  feed(NoServers{ MakeError(ErrorKind::NoServer, "no room"), true });
  cr_assert(state.phase == Phase::Waiting);
  cr_assert(std::holds_alternative<EnterQueue>(actions.back()));
  feed(DeadlinePassed{});
  cr_assert(state.phase == Phase::Ended);
  const auto leave = std::ranges::find_if(actions, [](const Action& aAction) {
    return std::holds_alternative<LeaveQueue>(aAction);
  });
  cr_assert(leave != actions.end());
  cr_assert_not(std::get<LeaveQueue>(*leave).keepsPlace);
}

// Guards against a request that waits in the queue after a server may have run
// it, so that it would run twice.
Test(exchange_handle, does_not_queue_a_request_that_may_have_run)
{
  auto state = StateIn(Phase::Attempt, Step::Choosing, {});
  FixedSurroundings surroundings;
  std::vector<Action> actions;
  Handle(state, NoServers{ .mayQueue = true }, kStart, surroundings, actions);
  cr_assert(state.phase == Phase::Ended);
  cr_assert(std::get<SendRefusal>(actions.front()).error.executed ==
            Executed::Unknown);
}

// Guards against a request in quarantine that stays in the queue and is sent to
// another server.
Test(exchange_handle, refuses_a_request_in_quarantine_in_the_queue)
{
  State state{ .phase = Phase::Waiting, .waitReason = WaitReason::Queue };
  FixedSurroundings surroundings{ .quarantined = true };
  std::vector<Action> actions;
  Handle(state, QuarantineChanged{}, kStart, surroundings, actions);
  cr_assert(state.phase == Phase::Ended);
  const auto& error = std::get<SendRefusal>(actions.front()).error;
  cr_assert(error.kind == ErrorKind::NoServer);
  cr_assert(error.executed == Executed::No);
}

// Guards against a second response head in the middle of a stream, when the
// server that is to continue it answers with a 4xx status.
Test(exchange_handle, forwards_no_other_answer_once_a_stream_has_begun)
{
  auto state = StateIn(Phase::Resuming, Step::Sent, {});
  FixedSurroundings surroundings;
  std::vector<Action> actions;
  Handle(state,
         BodyRead{ .verdict = forward::BodyVerdict::Whole, .status = 404 },
         kStart + 50ms,
         surroundings,
         actions);
  cr_assert(state.phase == Phase::Resuming);
  cr_assert(std::holds_alternative<ChooseServers>(actions.back()));
  for (const auto& action : actions) {
    cr_assert_not(std::holds_alternative<ForwardAnswer>(action));
  }
}
