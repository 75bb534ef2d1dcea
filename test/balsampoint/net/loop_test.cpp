#include "balsampoint/net/loop.hpp"

#include <chrono>
#include <criterion/criterion.h>
#include <future>
#include <stdexcept>

using namespace balsampoint;

// Guards against one unexpected error that ends the whole process.
Test(loop, an_exception_ends_only_the_handler_that_threw_it)
{
  net::Loop loop;
  loop.Start();
  std::promise<void> reached;
  loop.Post([] { throw std::runtime_error{ "unexpected" }; });
  loop.Post([&] { reached.set_value(); });
  const auto wait = reached.get_future().wait_for(std::chrono::seconds{ 10 });
  cr_assert(wait == std::future_status::ready);
}
