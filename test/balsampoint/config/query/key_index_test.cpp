#include "balsampoint/config/query/key_index.hpp"

#include "balsampoint/config/query/verify_key.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::config;

Test(key_index, finds_the_holder_of_a_whole_key_only)
{
  Document document;
  document.workspaces[WorkspaceId{ "galle" }] = {
    .id = WorkspaceId{ "galle" }, .keys = { HashKey("g1.secret", "00ff") }
  };
  const std::vector settingsKeys{ HashKey("root.secret", "11ff") };
  const auto index = KeyIndex::Make(document, settingsKeys);
  cr_assert(index.FindWorkspace("g1.secret") == WorkspaceId{ "galle" });
  cr_assert_not(index.FindWorkspace("g1.secreT").has_value());
  cr_assert_not(index.FindWorkspace("g2.secret").has_value());
  cr_assert_not(index.FindWorkspace("").has_value());
  cr_assert_not(index.FindWorkspace("root.secret").has_value());
  cr_assert(index.FindOperator("root.secret") == OperatorId{ "root" });
}

Test(verify_key, agrees_with_a_known_hash)
{
  const auto hash = HashKey("a.b", "");
  cr_assert(hash.id == "a");
  cr_assert(hash.sha256 ==
            "2e7336dc8eba87ef472df568c35482abf2575dc3e5eac0c5c62b8ffaeac2c934");
}
