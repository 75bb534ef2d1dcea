#include "balsampoint/runtime/mailbox.hpp"
#include "balsampoint/runtime/snapshot_cell.hpp"

#include <criterion/criterion.h>
#include <thread>

using namespace balsampoint;
using namespace balsampoint::runtime;

Test(mailbox, delivers_in_order_and_refuses_when_full)
{
  Mailbox<int> mailbox{ 2 };
  cr_assert(mailbox.Push(1));
  cr_assert(mailbox.Push(2));
  cr_assert_not(mailbox.Push(3));
  cr_assert_eq(*mailbox.Pop(Duration::max()), 1);
  cr_assert_eq(*mailbox.Pop(Duration::max()), 2);
  cr_assert_not(mailbox.Pop(Duration{ 1 }).has_value());
}

Test(mailbox, close_wakes_the_consumer)
{
  Mailbox<int> mailbox{ 2 };
  std::thread closer{ [&mailbox] { mailbox.Close(); } };
  cr_assert_not(mailbox.Pop(Duration::max()).has_value());
  closer.join();
  cr_assert_not(mailbox.Push(1));
}

Test(snapshot_cell, readers_keep_the_value_they_have_read)
{
  SnapshotCell<int> cell;
  cr_assert_null(cell.Read().get());
  cell.Publish(std::make_shared<const int>(1));
  const auto held = cell.Read();
  cell.Publish(std::make_shared<const int>(2));
  cr_assert_eq(*held, 1);
  cr_assert_eq(*cell.Read(), 2);
}
