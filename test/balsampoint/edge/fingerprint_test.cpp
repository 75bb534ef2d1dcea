#include "balsampoint/edge/fingerprint.hpp"

#include <criterion/criterion.h>
#include <set>

using namespace balsampoint;
using edge::Fingerprint;

Test(fingerprint, is_the_same_for_equal_requests_only)
{
  const WorkspaceId one{ "one" };
  const WorkspaceId two{ "two" };
  const std::set<std::string> prints{
    Fingerprint({ one, "POST", "a", "/x?y=1", "body" }),
    Fingerprint({ two, "POST", "a", "/x?y=1", "body" }),
    Fingerprint({ one, "GET", "a", "/x?y=1", "body" }),
    Fingerprint({ one, "POST", "b", "/x?y=1", "body" }),
    Fingerprint({ one, "POST", "a", "/x?y=2", "body" }),
    Fingerprint({ one, "POST", "a", "/x?y=1", "" }),
    Fingerprint({ one, "POST", "a", "/x?y=1body", "" }),
    Fingerprint({ one, "POST", "a/x?y=1", "", "body" }),
  };
  cr_assert_eq(prints.size(), 8U);
}

// Guards against a hash that differs between hosts of different builds.
Test(fingerprint, is_fixed)
{
  cr_assert_eq(Fingerprint({ WorkspaceId{ "w" }, "GET", "h", "/p", "" }),
               "0f67e10d39eb3394");
}
