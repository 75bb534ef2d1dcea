#include "balsampoint/wire/event_splitter.hpp"

#include <criterion/criterion.h>

using namespace balsampoint::wire;

Test(event_splitter, returns_only_complete_events)
{
  EventSplitter splitter;
  splitter.Append("id: 1\ndata: a\n");
  cr_assert_not(splitter.Next().has_value());
  cr_assert(splitter.HasPartialEvent());
  splitter.Append("\nid: 2\ndata: b\n\nid: 3\nda");
  const auto first = splitter.Next();
  cr_assert(first.has_value());
  cr_assert_eq(first->id.value_or(0), 1U);
  cr_assert_eq(first->bytes, "id: 1\ndata: a\n\n");
  cr_assert_eq(splitter.Next()->id.value_or(0), 2U);
  cr_assert_not(splitter.Next().has_value());
  cr_assert(splitter.HasPartialEvent());
}

Test(event_splitter, an_event_without_an_id_field_has_no_id)
{
  EventSplitter splitter;
  splitter.Append("data: id: 4\n\n");
  const auto event = splitter.Next();
  cr_assert(event.has_value());
  cr_assert_not(event->id.has_value());
  cr_assert_not(splitter.HasPartialEvent());
}
