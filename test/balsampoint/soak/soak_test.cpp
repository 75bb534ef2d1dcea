#include "balsampoint/soak/world.hpp"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace balsampoint;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeedsInCi = 20;

/** @brief Seeds to run; `SOAK_SEEDS` asks for more by hand. */
std::uint64_t
Seeds()
{
  // NOLINTNEXTLINE(concurrency-mt-unsafe): nothing writes the environment.
  const auto* asked = std::getenv("SOAK_SEEDS");
  return asked == nullptr ? kSeedsInCi : std::strtoull(asked, nullptr, 10);
}

} // namespace

Test(soak, the_fleet_settles_after_any_faults_and_no_order_or_chain_is_wrong)
{
  std::uint64_t failed = 0;
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    test::World world{ seed };
    world.RunCalm(8s);
    world.RunWithFaults(40s);
    world.RunCalm(40s);
    auto wrong = world.Broken();
    const auto unsettled = world.Unsettled();
    wrong.insert(wrong.end(), unsettled.begin(), unsettled.end());
    for (const auto& one : wrong) {
      cr_log_error(
        "seed %llu: %s", static_cast<unsigned long long>(seed), one.c_str());
    }
    failed += wrong.empty() ? 0 : 1;
  }
  cr_assert_eq(failed, 0U);
}
