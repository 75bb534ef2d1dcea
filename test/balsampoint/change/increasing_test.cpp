#include "balsampoint/change/command/decide.hpp"

#include <criterion/criterion.h>
#include <string>
#include <tuple>

using namespace balsampoint;
using namespace balsampoint::change;

namespace {

Change
MakeChange(std::uint64_t aNumber, const std::string& aText)
{
  return { .number = ChangeNumber{ aNumber },
           .id = ChangeId{ std::to_string(aNumber) + aText },
           .digest = aText,
           .whole = true,
           .delta = { .upserts = { { "document", aText } } },
           .numbering = Numbering::Increasing };
}

} // namespace

Test(increasing, the_highest_number_wins_even_if_numbers_are_skipped)
{
  Table table;
  cr_assert_eq(Decide(table, MakeChange(3, "a")).outcome, Outcome::Accepted);
  cr_assert_eq(Decide(table, MakeChange(9, "b")).outcome, Outcome::Accepted);
  cr_assert_eq(Decide(table, MakeChange(8, "c")).outcome, Outcome::Superseded);
  cr_assert_eq(table.sections->at("document"), "b");
  cr_assert_eq(table.number, ChangeNumber{ 9 });
}

Test(increasing, an_equal_number_with_other_content_changes_nothing)
{
  Table table;
  cr_assert_eq(Decide(table, MakeChange(3, "a")).outcome, Outcome::Accepted);
  cr_assert_eq(Decide(table, MakeChange(3, "b")).outcome, Outcome::Superseded);
  cr_assert_eq(table.sections->at("document"), "a");
}

Test(increasing, a_resent_change_gets_its_first_answer)
{
  Table table;
  const auto change = MakeChange(3, "a");
  cr_assert_eq(Decide(table, change).outcome, Outcome::Accepted);
  cr_assert_eq(Decide(table, change).outcome, Outcome::Accepted);
  cr_assert_eq(Decide(table, MakeChange(5, "b")).outcome, Outcome::Accepted);
  cr_assert_eq(Decide(table, change).outcome, Outcome::Accepted);
  cr_assert_eq(table.sections->at("document"), "b");
}

Test(increasing, the_number_of_kept_answers_is_bounded)
{
  Table table;
  for (std::uint64_t number = 1; number < 3 * kSupersededWindow; ++number) {
    std::ignore = Decide(table, MakeChange(number, "x"));
  }
  cr_assert_leq(table.order.size(), kSupersededWindow);
  cr_assert_leq(table.decided.size(), kSupersededWindow);
}
