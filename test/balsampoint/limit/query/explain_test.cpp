#include "balsampoint/limit/query/explain.hpp"

#include "balsampoint/limit/command/wait_for_room.hpp"
#include "balsampoint/limit/fixture.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::limit;
using namespace balsampoint::test;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 1h };

WaitRequest
Request(Urgency aUrgency)
{
  return { .ticket = Ticket{ 99 },
           .urgency = aUrgency,
           .arrivedAt = kNow,
           .latest = kNow + 300ms,
           .tokens = 800.0 };
}

} // namespace

// Guards against an explanation of services that are served without levels.
Test(explain_shortage, applies_only_to_services_with_levels)
{
  const auto state = MakeShortage({ 1, 1 });
  cr_expect_not(Explain(state, kService, Request(1), {}, kNow).has_value());
}

// Guards against an explanation with another level than the one that the
// request with this id gets.
Test(explain_shortage, names_the_level_that_the_request_draws)
{
  auto state = MakeShortage();
  SetRemoteDemand(
    state, kService, { { 0, 2000.0 }, { 2, 500.0 } }, 10000.0, kNow);
  const auto level = LevelOf(state, kService, 2, kNow + 100ms);
  for (int number = 0; number < 100; ++number) {
    const RequestId id{ "q" + std::to_string(number) };
    const auto drawn = DrawLevel(state.settings, level, id);
    const auto told = Explain(state, kService, Request(2), id, kNow + 100ms);
    cr_assert(told.has_value());
    cr_assert_eq(told->requestLevel.fraction, drawn.fraction);
    cr_assert_eq(told->requestLevel.inMinShare, drawn.inMinShare);
  }
  const auto told = Explain(state, kService, Request(2), {}, kNow + 100ms);
  cr_expect_eq(told->requestLevel.fraction, level.fraction);
  cr_expect_eq(told->demand.at(0), 2000.0);
  cr_expect(told->sumsAge == Duration{ 100ms });
}

// Guards against an explanation that a request would wait where it is refused,
// or the reverse.
Test(explain_shortage, says_whether_the_request_would_wait)
{
  auto state = MakeShortage();
  auto told = Explain(state, kService, Request(1), {}, kNow);
  cr_expect_not(told->wouldWait);
  cr_expect_not(told->expectedWait.has_value());
  for (int start = 0; start < 40; ++start) {
    CountStart(state, kService, {}, kNow);
  }
  told = Explain(state, kService, Request(1), {}, kNow);
  cr_expect(told->wouldWait);
  cr_expect_not(told->blocked);
  cr_expect_eq(told->waitingBefore, 0);
  auto first = Request(0);
  first.latest = kNow + 10s;
  first.fraction = state.settings.maxLevel;
  for (std::uint64_t ticket = 1; ticket <= 20; ++ticket) {
    first.ticket = Ticket{ ticket };
    cr_assert(Wait(state, kService, first, kNow).verdict == WaitVerdict::Waits);
  }
  const auto expected = Wait(state, kService, Request(1), kNow).verdict;
  Leave(state, Request(1).ticket);
  told = Explain(state, kService, Request(1), {}, kNow);
  cr_expect_eq(told->waitingBefore, 20);
  cr_expect(told->blocked);
  cr_expect_eq(told->wouldWait, expected == WaitVerdict::Waits);
}
