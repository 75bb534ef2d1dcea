#include "balsampoint/limit/command/wait_for_room.hpp"

#include "balsampoint/limit/fixture.hpp"
#include "balsampoint/limit/query/waiting.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::limit;
using namespace balsampoint::test;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 1h };

WaitRequest
MakeRequest(std::uint64_t aTicket, Urgency aUrgency)
{
  return { .ticket = Ticket{ aTicket },
           .urgency = aUrgency,
           .workspace = WorkspaceId{ "w" },
           .arrivedAt = kNow + std::chrono::milliseconds{ aTicket },
           .latest = kNow + 10s,
           .tokens = 100.0,
           .fraction = 0.8 };
}

/** @brief State of a host whose requests found room at a rate. */
Shortage
MakeStarting(int aPerSecond)
{
  auto state = MakeShortage();
  // Rates are those of two seconds and half a part of the count.
  const auto starts = aPerSecond * 17 / 8;
  for (int start = 0; start < starts; ++start) {
    CountStart(state, kService, WorkspaceId{ "w" }, kNow);
  }
  return state;
}

WaitVerdict
VerdictFor(Shortage& aState, const WaitRequest& aRequest)
{
  return Wait(aState, kService, aRequest, kNow).verdict;
}

std::vector<Ticket>
Tickets(std::initializer_list<std::uint64_t> aNumbers)
{
  std::vector<Ticket> tickets;
  for (const auto number : aNumbers) {
    tickets.emplace_back(number);
  }
  return tickets;
}

} // namespace

// Guards against requests that are held although they will be refused in the
// end.
Test(wait_for_room, is_refused_if_room_is_expected_too_late)
{
  auto state = MakeStarting(8);
  auto request = MakeRequest(1, 0);
  request.latest = kNow + 124ms;
  cr_assert(VerdictFor(state, request) == WaitVerdict::TooLate);
  request.latest = kNow + 126ms;
  cr_assert(VerdictFor(state, request) == WaitVerdict::Waits);
  auto second = MakeRequest(2, 0);
  second.latest = kNow + 200ms;
  cr_assert(VerdictFor(state, second) == WaitVerdict::TooLate);
  second.latest = kNow + 251ms;
  cr_assert(VerdictFor(state, second) == WaitVerdict::Waits);
  auto idle = MakeShortage();
  cr_assert(VerdictFor(idle, MakeRequest(1, 0)) == WaitVerdict::TooLate);
}

// Guards against waiting where the configuration does not call for it.
Test(wait_for_room, does_not_apply_to_equal_urgencies)
{
  auto state = MakeShortage({ 1, 1 });
  CountStart(state, kService, WorkspaceId{ "w" }, kNow);
  CountRefusal(state, kService, kNow);
  cr_assert(VerdictFor(state, MakeRequest(1, 1)) == WaitVerdict::NotApplicable);
  cr_assert(RetrySpread(state, kService, kNow) == Duration{});
}

// Guards against a queue in the order of arrival only.
Test(wait_for_room, serves_by_urgency_retry_workspace_and_arrival)
{
  auto state = MakeStarting(80);
  state.settings.maxTries = 9;
  CountStart(state, kService, WorkspaceId{ "w2" }, kNow - 1s);
  // Less urgent ones need less, so that they are not blocked.
  const auto wait = [&](std::uint64_t aTicket,
                        Urgency aUrgency,
                        bool aRetry,
                        const char* aWorkspace,
                        double aTokens) {
    auto request = MakeRequest(aTicket, aUrgency);
    request.retry = aRetry;
    request.workspace = WorkspaceId{ aWorkspace };
    request.tokens = aTokens;
    cr_assert(VerdictFor(state, request) == WaitVerdict::Waits);
  };
  wait(1, 1, true, "w2", 10.0);
  wait(2, 0, false, "w", 20.0);
  wait(3, 0, false, "w", 15.0);
  wait(4, 0, false, "w2", 30.0);
  wait(5, 0, true, "w", 40.0);
  cr_assert(NextToTry(state) == Tickets({ 5, 4, 2, 3, 1 }));
}

// Guards against searches for room that can't succeed: each takes processor
// time.
Test(wait_for_room, tries_only_what_an_earlier_request_does_not_rule_out)
{
  auto state = MakeStarting(80);
  cr_assert(VerdictFor(state, MakeRequest(1, 0)) == WaitVerdict::Waits);
  cr_assert(VerdictFor(state, MakeRequest(2, 0)) == WaitVerdict::Waits);
  auto small = MakeRequest(3, 0);
  small.tokens = 50.0;
  cr_assert(IsBlocked(state, kService, MakeRequest(9, 0)));
  cr_assert_not(IsBlocked(state, kService, small));
  cr_assert(VerdictFor(state, small) == WaitVerdict::Waits);
  cr_assert(NextToTry(state) == Tickets({ 1, 3 }));
  // The minimum share may use room that the reservation keeps from others.
  auto share = MakeRequest(4, 2);
  share.fraction = 0.95;
  cr_assert_not(IsBlocked(state, kService, share));
  Leave(state, Ticket{ 3 });
  cr_assert(VerdictFor(state, share) == WaitVerdict::Waits);
  cr_assert(NextToTry(state) == Tickets({ 1, 4 }));
}

// Guards against a queue without bound, and against an urgent request that is
// refused while less urgent ones wait.
Test(wait_for_room, is_bounded_and_displaces_the_last)
{
  auto state = MakeStarting(80);
  state.settings.maxWaiting = 2;
  cr_assert(VerdictFor(state, MakeRequest(1, 1)) == WaitVerdict::Waits);
  cr_assert(VerdictFor(state, MakeRequest(2, 2)) == WaitVerdict::Waits);
  cr_assert(VerdictFor(state, MakeRequest(3, 2)) == WaitVerdict::QueueFull);
  const auto decision = Wait(state, kService, MakeRequest(4, 0), kNow);
  cr_assert(decision.verdict == WaitVerdict::Waits);
  cr_assert(decision.displaced == Ticket{ 2 });
  cr_assert_eq(WaitingCount(state), 2U);
}

// Guards against requests that wait beyond their targets.
Test(wait_for_room, ends_when_the_target_can_no_longer_be_met)
{
  auto state = MakeStarting(80);
  auto request = MakeRequest(1, 0);
  request.latest = kNow + 300ms;
  cr_assert(VerdictFor(state, request) == WaitVerdict::Waits);
  cr_assert(VerdictFor(state, MakeRequest(2, 0)) == WaitVerdict::Waits);
  cr_assert(NextExpiry(state) == kNow + 300ms);
  cr_assert(RemoveExpired(state, kNow + 299ms).empty());
  cr_assert(RemoveExpired(state, kNow + 300ms) == Tickets({ 1 }));
  cr_assert_eq(WaitingCount(state), 1U);
  cr_assert(NextToTry(state) == Tickets({ 2 }));
}

// Guards against requests that wait for ever after a change of configuration.
Test(wait_for_room, ends_when_a_configuration_no_longer_calls_for_it)
{
  auto state = MakeStarting(80);
  cr_assert(VerdictFor(state, MakeRequest(1, 0)) == WaitVerdict::Waits);
  cr_assert(FollowConfiguration(state, Routes({ 0, 1, 2, 3 })).empty());
  cr_assert_eq(WaitingCount(state), 1U);
  cr_assert(FollowConfiguration(state, Routes({ 0 })) == Tickets({ 1 }));
  cr_assert_eq(WaitingCount(state), 0U);
}

// Guards against refused callers that all try again at the same time.
Test(wait_for_room, retries_are_spread_the_more_the_more_are_refused)
{
  auto state = MakeStarting(8);
  cr_assert(RetrySpread(state, kService, kNow) == Duration{});
  for (int refusal = 0; refusal < 4; ++refusal) {
    CountRefusal(state, kService, kNow);
  }
  cr_assert(RetrySpread(state, kService, kNow) == 500ms);
  for (int refusal = 0; refusal < 100; ++refusal) {
    CountRefusal(state, kService, kNow);
  }
  cr_assert(RetrySpread(state, kService, kNow) ==
            state.settings.maxRetrySpread);
}
