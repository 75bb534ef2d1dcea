#include "balsampoint/core/error.hpp"

#include <criterion/criterion.h>
#include <set>

using namespace balsampoint;

Test(error, every_kind_has_its_own_name_and_an_error_status)
{
  std::set<std::string_view> names;
  for (const auto& answer : ErrorAnswers()) {
    cr_assert(names.insert(answer.name).second);
    cr_assert(answer.status >= 400 && answer.status < 600);
    cr_assert_eq(AnswerFor(answer.kind).kind, answer.kind);
  }
}

Test(error, refusal_has_the_kind_the_detail_and_the_default_executed)
{
  const tl::expected<int, Error> result =
    Refuse(ErrorKind::BackendFailed, "connection reset");
  cr_assert_not(result.has_value());
  cr_assert_eq(result.error().executed, Executed::Unknown);
  cr_assert(result.error().detail == "connection reset");
}
