#include "balsampoint/core/layer_range.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;

Test(layer_range, contains_its_first_layer_but_not_its_end)
{
  const auto range = LayerRange::Make(4, 8, 32);
  cr_assert(range.has_value());
  cr_assert_eq(range->Size(), 4);
  cr_assert(range->Holds(4));
  cr_assert_not(range->Holds(8));
}

Test(layer_range, empty_range_or_range_outside_the_model_is_refused)
{
  cr_assert_not(LayerRange::Make(8, 8, 32).has_value());
  cr_assert_not(LayerRange::Make(30, 33, 32).has_value());
  cr_assert_eq(LayerRange::Make(9, 8, 32).error().kind, ErrorKind::BadRequest);
}
