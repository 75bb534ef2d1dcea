#include "balsampoint/routing/table.hpp"

#include <chrono>
#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::routing;
using namespace std::chrono_literals;

namespace {

Route
MakeRoute(std::string aName, std::string aPrefix)
{
  return { .name = std::move(aName),
           .host = "desk.example",
           .pathPrefix = std::move(aPrefix),
           .timeout = 1s,
           .targets = { { ServiceId{ "desk" }, 1 } } };
}

Document
MakeDocument()
{
  Document document{ .number = ChangeNumber{ 3 } };
  document.routes = { MakeRoute("all", "/a/"), MakeRoute("deep", "/a/b/") };
  document.services[ServiceId{ "desk" }] = { .id = ServiceId{ "desk" } };
  document.workspaces = { { WorkspaceId{ "galle" }, { "k1", "k2" }, {} },
                          { WorkspaceId{ "kandy" }, { "k3" }, {} } };
  return document;
}

bool
IsInvalid(Document aDocument)
{
  const auto table = Table::Make(std::move(aDocument));
  return !table && table.error().kind == ErrorKind::InvalidConfiguration;
}

} // namespace

Test(table, the_longest_prefix_wins)
{
  const auto table = Table::Make(MakeDocument());
  cr_assert(table.has_value());
  cr_assert_eq((*table)->FindRoute("desk.example", "/a/b/c")->name, "deep");
  cr_assert_eq((*table)->FindRoute("desk.example", "/a/x")->name, "all");
  cr_assert_null((*table)->FindRoute("desk.example", "/ab"));
  cr_assert_null((*table)->FindRoute("other.example", "/a/b/"));
}

Test(table, finds_the_workspace_of_a_key)
{
  const auto table = Table::Make(MakeDocument());
  cr_assert_eq((*table)->FindWorkspace("k2")->id, WorkspaceId{ "galle" });
  cr_assert_null((*table)->FindWorkspace("k4"));
}

Test(table, refuses_contradictory_configurations)
{
  auto unknown = MakeDocument();
  unknown.routes.front().targets.front().service = ServiceId{ "none" };
  cr_expect(IsInvalid(unknown));
  auto twice = MakeDocument();
  twice.routes.push_back(MakeRoute("again", "/a/b/"));
  cr_expect(IsInvalid(twice));
  auto weightless = MakeDocument();
  weightless.routes.front().targets.front().weight = 0;
  cr_expect(IsInvalid(weightless));
  auto timeless = MakeDocument();
  timeless.routes.front().timeout = 0s;
  cr_expect(IsInvalid(timeless));
  auto shared = MakeDocument();
  shared.workspaces.back().keys.emplace_back("k1");
  cr_expect(IsInvalid(shared));
}
