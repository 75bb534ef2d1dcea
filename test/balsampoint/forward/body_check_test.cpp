#include "balsampoint/forward/body_check.hpp"

#include <criterion/criterion.h>

using namespace balsampoint::forward;

namespace {

constexpr InnerAnswer kCopy{ .complete = true,
                             .identified = true,
                             .repeatsAnswer = true,
                             .endsByClose = true };

} // namespace

Test(body_check, a_repeated_answer_is_told_only_where_the_connection_ends_it)
{
  cr_assert_eq(CheckBody(kCopy), BodyVerdict::SentTwice);
  auto inner = kCopy;
  inner.endsByClose = false;
  cr_assert_eq(CheckBody(inner), BodyVerdict::Mixed);
}

Test(body_check, an_identified_head_belongs_to_another_answer)
{
  auto inner = kCopy;
  inner.repeatsAnswer = false;
  cr_assert_eq(CheckBody(inner), BodyVerdict::Mixed);
  inner.identified = false;
  cr_assert_eq(CheckBody(inner), BodyVerdict::Whole);
}

Test(body_check, a_cut_head_counts_where_it_may_go_on_behind_the_body)
{
  cr_assert_eq(CheckBody({ .endsByClose = true }), BodyVerdict::Mixed);
  cr_assert_eq(CheckBody({ .hasLength = true }), BodyVerdict::Mixed);
  cr_assert_eq(CheckBody({ .followed = true }), BodyVerdict::Mixed);
  cr_assert_eq(CheckBody({}), BodyVerdict::Whole);
}

// Guards against the copy of an answer that lacks what identifies it.
Test(body_check, a_nameless_head_counts_where_the_bytes_around_it_tell_a_copy)
{
  const InnerAnswer nameless{ .complete = true, .hasLength = true };
  cr_assert_eq(CheckBody(nameless), BodyVerdict::Whole);
  auto inner = nameless;
  inner.followed = true;
  cr_assert_eq(CheckBody(inner), BodyVerdict::Mixed);
  inner = { .complete = true, .repeatsBody = true };
  cr_assert_eq(CheckBody(inner), BodyVerdict::Whole);
  inner.endsByClose = true;
  cr_assert_eq(CheckBody(inner), BodyVerdict::Mixed);
}
