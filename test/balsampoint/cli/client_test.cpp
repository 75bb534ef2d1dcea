#include "balsampoint/cli/internal/client.hpp"

#include "balsampoint/cli/internal/change.hpp"

#include <criterion/criterion.h>

using namespace balsampoint::cli;

Test(client, says_that_no_host_could_be_reached)
{
  const Options options{ .hosts = { "127.0.0.1:1", "127.0.0.1:2" } };
  Client client{ options };
  const auto result = client.Get("/v1/status/hosts");
  cr_assert_not(result.has_value());
  cr_assert_eq(result.error().code, ExitCode::Unreachable);
  cr_assert(result.error().message.find("127.0.0.1:2") != std::string::npos);
}

Test(client, a_command_that_left_for_nowhere_is_not_unknown)
{
  const Options options{ .hosts = { "127.0.0.1:1" } };
  Client client{ options };
  const auto result = PutChange(client, { .number = 1, .id = "a" });
  cr_assert_eq(result.error().code, ExitCode::Unreachable);
}

Test(change, has_the_same_id_whenever_it_is_made_anew)
{
  const std::filesystem::path folder{ BALSAMPOINT_EXAMPLES
                                      "/ruhunu/configuration" };
  const auto first = MakeChange(folder, 4, "");
  const auto again = MakeChange(folder, 4, "");
  const auto next = MakeChange(folder, 5, "");
  cr_assert(first->id == again->id);
  cr_assert(first->id != next->id);
  cr_assert(MakeChange(folder, 4, "mine")->id == "mine");
}
