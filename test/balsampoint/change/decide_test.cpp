#include "balsampoint/change/command/decide.hpp"
#include "balsampoint/change/delta.hpp"

#include <criterion/criterion.h>
#include <tuple>

using namespace balsampoint;
using namespace balsampoint::change;

namespace {

Change
MakeChange(std::uint64_t aNumber, const std::string& aId)
{
  return { .number = ChangeNumber{ aNumber },
           .id = ChangeId{ aId },
           .author = OperatorId{ "nimal" },
           .digest = "digest of " + aId,
           .delta = { { { "workspace/" + aId, "weight" } }, {} } };
}

} // namespace

Test(decide, one_change_per_number_wins_and_the_others_learn_its_id)
{
  Table table;
  cr_assert(Decide(table, MakeChange(1, "a")).outcome == Outcome::Accepted);
  const auto answer = Decide(table, MakeChange(1, "b"));
  cr_assert(answer.outcome == Outcome::Conflict);
  cr_assert_eq(answer.winner, ChangeId{ "a" });
  cr_assert_eq(answer.next, ChangeNumber{ 2 });
  cr_assert_eq(table.sections->size(), 1);
}

Test(decide, a_resent_change_gets_its_first_answer)
{
  Table table;
  const auto won = Decide(table, MakeChange(1, "a"));
  const auto lost = Decide(table, MakeChange(1, "b"));
  for (std::uint64_t i = 2; i < 300; ++i) {
    std::ignore = Decide(table, MakeChange(i, std::to_string(i)));
  }
  const auto restored = table;
  table = restored;
  cr_assert(Decide(table, MakeChange(1, "a")) == won);
  cr_assert(Decide(table, MakeChange(1, "b")) == lost);
  cr_assert_eq(table.number, ChangeNumber{ 299 });
}

Test(decide, an_id_with_another_content_is_an_error)
{
  Table table;
  std::ignore = Decide(table, MakeChange(1, "a"));
  auto other = MakeChange(1, "a");
  other.digest = "another";
  cr_assert(Decide(table, other).outcome == Outcome::IdReused);
  cr_assert(Decide(table, MakeChange(2, "a")).outcome == Outcome::IdReused);
  cr_assert_eq(table.number, ChangeNumber{ 1 });
}

Test(decide, a_skipped_number_is_refused_and_may_come_again)
{
  Table table;
  const auto skipped = Decide(table, MakeChange(2, "b"));
  cr_assert(skipped.outcome == Outcome::NumberSkipped);
  cr_assert_eq(skipped.next, ChangeNumber{ 1 });
  std::ignore = Decide(table, MakeChange(1, "a"));
  cr_assert(Decide(table, MakeChange(2, "b")).outcome == Outcome::Accepted);
}

Test(decide, does_not_repeat_a_change_dropped_from_the_window)
{
  Table table;
  for (std::uint64_t i = 1; i <= kDecidedWindow + 5; ++i) {
    std::ignore = Decide(table, MakeChange(i, std::to_string(i)));
  }
  cr_assert_eq(table.decided.size(), kDecidedWindow);
  const auto answer = Decide(table, MakeChange(1, "1"));
  cr_assert(answer.outcome == Outcome::Conflict);
  cr_assert(answer.winner.Empty());
  cr_assert_eq(table.number, ChangeNumber{ kDecidedWindow + 5 });
}

Test(delta, applied_to_the_base_gives_the_target)
{
  const Sections from{ { "a", "1" }, { "b", "2" }, { "c", "3" } };
  const Sections target{ { "a", "1" }, { "b", "9" }, { "d", "4" } };
  const auto delta = Difference(from, target);
  cr_assert_eq(delta.upserts.size(), 2);
  cr_assert_eq(delta.removals.size(), 1);
  cr_assert(*ApplyDelta(from, delta) == target);
}
