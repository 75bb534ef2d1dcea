#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/memory/command/record_holder.hpp"
#include "balsampoint/memory/command/relieve.hpp"
#include "balsampoint/memory/query/may_grow.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <cstdint>
#include <vector>

using namespace balsampoint;
using namespace balsampoint::memory;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 1h };
constexpr Duration kLong = 2s;

/** Large holders may hold 600 bytes, small ones up to 10 each. */
State
MakeState()
{
  return { .settings = { .budgetBytes = 1000,
                         .reservedBytes = 400,
                         .smallBytes = 10,
                         .progressBytes = 5,
                         .patience = 500ms } };
}

HolderId
Add(State& aState, std::uint64_t aBytes, Work aWork = Work::Receiving)
{
  const auto id = AddHolder(aState, kNow);
  RecordHolder(
    aState, id, { .work = aWork, .bytes = aBytes, .moved = aBytes }, kNow);
  return id;
}

} // namespace

// Guards against small requests that are shut out by large ones.
Test(memory, a_small_holder_may_always_grow)
{
  auto state = MakeState();
  Add(state, 5000);
  const auto small = Add(state, 10);
  cr_assert(MayGrow(state, small));
  cr_assert_eq(Relieve(state, kNow).size(), 1);
}

// Guards against a large request that waits although nobody else holds bytes.
Test(memory, a_single_large_holder_may_grow_beyond_its_part)
{
  auto state = MakeState();
  const auto large = Add(state, 900);
  cr_assert(MayGrow(state, large));
  cr_assert(Relieve(state, kNow).empty());
}

// Guards against large requests that all wait for each other.
Test(memory, under_pressure_only_the_largest_of_a_kind_may_grow)
{
  auto state = MakeState();
  const auto first = Add(state, 400);
  const auto second = Add(state, 300);
  const auto answer = Add(state, 100, Work::Running);
  cr_assert(MayGrow(state, first));
  cr_assert_not(MayGrow(state, second));
  cr_assert(MayGrow(state, answer));
}

// Guards against memory that stays with peers that send or read nothing.
Test(memory, stalled_holders_are_chosen_until_there_is_room)
{
  auto state = MakeState();
  const auto small = Add(state, 9);
  const auto middle = Add(state, 250);
  const auto largest = Add(state, 300);
  const auto reader = Add(state, 100, Work::Sending);
  cr_assert(Relieve(state, kNow + 499ms).empty());
  const std::vector<Action> expected{ { largest, Relief::Refuse, 300 } };
  cr_assert(Relieve(state, kNow + 500ms) == expected);
  cr_assert(Relieve(state, kNow + kLong).empty());
  RemoveHolder(state, largest);
  Add(state, 400, Work::Running);
  const std::vector<Action> next{ { middle, Relief::Refuse, 250 } };
  cr_assert(Relieve(state, kNow + kLong) == next);
  cr_assert(MayGrow(state, small));
  cr_assert_eq(state.holders.at(reader).ending, false);
}

// Guards against a refusal, which promises that the request has not run, for a
// request that a server may have.
Test(memory, only_what_has_not_run_is_refused)
{
  auto state = MakeState();
  Add(state, 700, Work::Running);
  Add(state, 600, Work::Sending);
  Add(state, 500);
  const auto actions = Relieve(state, kNow);
  cr_assert_eq(actions.size(), 2);
  cr_assert_eq(actions[0].relief, Relief::Refuse);
  cr_assert_eq(actions[0].bytes, 500);
  cr_assert_eq(actions[1].relief, Relief::Cut);
  cr_assert_eq(actions[1].bytes, 600);
}

// Guards against a peer that is taken for stalled because this host does not
// read it.
Test(memory, a_paused_holder_is_not_stalled)
{
  auto state = MakeState();
  Add(state, 400, Work::Running);
  const auto paused = Add(state, 300);
  SetPaused(state, paused, true, kNow);
  cr_assert(Relieve(state, kNow + kLong).empty());
  SetPaused(state, paused, false, kNow + kLong);
  cr_assert(Relieve(state, kNow + kLong + 499ms).empty());
  cr_assert_eq(Relieve(state, kNow + kLong + 500ms).size(), 1);
}

// Guards against a peer that keeps its bytes by sending one at a time.
Test(memory, progress_counts_by_the_piece)
{
  auto state = MakeState();
  const auto slow = Add(state, 700);
  for (int step = 1; step <= 4; ++step) {
    RecordHolder(
      state, slow, { .bytes = 700, .moved = 1 }, kNow + step * 200ms);
  }
  cr_assert_eq(Relieve(state, kNow + 900ms).size(), 1);
}

// Guards against paused holders that are never read again, or all at once.
Test(memory, paused_holders_resume_as_far_as_there_is_room)
{
  auto state = MakeState();
  const auto running = Add(state, 500, Work::Running);
  const auto first = Add(state, 200);
  const auto second = Add(state, 150);
  const auto third = Add(state, 100);
  for (const auto id : { first, second, third }) {
    SetPaused(state, id, true, kNow);
  }
  cr_assert_eq(state.pausedHolders, 3);
  cr_assert(FindResumable(state) == std::vector{ first });
  RemoveHolder(state, running);
  cr_assert(FindResumable(state) == std::vector{ first });
  RemoveHolder(state, second);
  cr_assert(FindResumable(state) == (std::vector{ first, third }));
}

// Guards against sums that differ from what the holders hold, and against
// holders that pass the budget after all large ones were chosen.
Test(memory, sums_and_budget_hold_in_any_order_of_events)
{
  constexpr int kSteps = 20000;
  auto state = MakeState();
  SplitMix64 random{ 1 };
  std::vector<HolderId> ids;
  auto now = kNow;
  for (int step = 0; step < kSteps; ++step) {
    now += std::chrono::milliseconds{ random.Next() % 50 };
    if (ids.size() < 20 && random.Next() % 4 == 0) {
      ids.push_back(AddHolder(state, now));
    }
    if (!ids.empty()) {
      const auto id = ids[random.Next() % ids.size()];
      const auto work = static_cast<Work>(random.Next() % 3);
      RecordHolder(
        state, id, { work, random.Next() % 300, random.Next() % 8 }, now);
    }
    for (const auto& action : Relieve(state, now)) {
      cr_assert_gt(action.bytes, state.settings.smallBytes);
      RemoveHolder(state, action.holder);
      std::erase(ids, action.holder);
    }
    std::uint64_t held = 0;
    std::uint64_t large = 0;
    for (const auto& [id, holder] : state.holders) {
      held += holder.bytes;
      large += holder.bytes > state.settings.smallBytes ? holder.bytes : 0;
    }
    cr_assert_eq(held, state.heldBytes);
    cr_assert_eq(large, state.largeBytes);
    cr_assert_leq(held, state.settings.budgetBytes);
  }
}

// Guards against a host that goes on checking for relief since a holder that
// has ended still counts as paused.
Test(memory, paused_holders_count_once_and_until_they_end)
{
  State state;
  const auto one = AddHolder(state, {});
  const auto other = AddHolder(state, {});
  SetPaused(state, one, true, {});
  SetPaused(state, one, true, {});
  SetPaused(state, other, true, {});
  cr_assert_eq(state.pausedHolders, 2);
  cr_assert(NeedsRelief(state));
  SetPaused(state, other, false, {});
  SetPaused(state, other, false, {});
  RemoveHolder(state, other);
  cr_assert_eq(state.pausedHolders, 1);
  RemoveHolder(state, one);
  cr_assert_eq(state.pausedHolders, 0);
  cr_assert_not(NeedsRelief(state));
}
