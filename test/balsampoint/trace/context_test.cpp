#include "balsampoint/trace/context.hpp"

#include "fake/random.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::trace;

Test(context, reads_back_what_it_writes)
{
  constexpr std::string_view kField =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const auto context = Context::Parse(kField);
  cr_assert(context.has_value());
  cr_assert(context->Text() == kField);
  cr_assert(context->sampled);
}

Test(context, refuses_wrong_fields)
{
  for (const auto* const field :
       { "",
         "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
         "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
         "00-00000000000000000000000000000000-b7ad6b7169203331-01",
         "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
         "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
         "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01x" }) {
    cr_assert_not(Context::Parse(field).has_value());
  }
}

Test(context, starts_a_trace_where_none_is_given)
{
  fake::Random random{ 1 };
  const auto context = Continue("", random);
  cr_assert_eq(context.span, 0);
  cr_assert_eq(context.TraceId().size(), 32);
}
