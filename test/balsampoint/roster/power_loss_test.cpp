#include "balsampoint/roster/networked_hosts.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::test;
using std::chrono::seconds;

namespace {

constexpr std::size_t kControls = 6;
constexpr std::size_t kEntries = 58;
/** Time in which every host has to hear of a configuration. */
constexpr Duration kBound = seconds{ 2 };

} // namespace

// Guards against entry hosts that follow no relay for 6 s after all control
// hosts lost power: they missed the configurations of that time.
Test(roster_power_loss, configurations_reach_all_hosts_soon_after_it)
{
  constexpr std::uint64_t kSeeds = 20;
  constexpr std::uint64_t kChanges = 6;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    NetworkedHosts hosts{ kControls, kEntries, seed };
    hosts.Run(seconds{ 10 });
    for (const auto& control : hosts.Controls()) {
      hosts.Stop(control);
    }
    hosts.Run(seconds{ 2 });
    hosts.StartAll();
    hosts.Run(seconds{ 1 });
    for (std::uint64_t number = 1; number <= kChanges; ++number) {
      hosts.Configure(ChangeNumber{ number });
      hosts.Run(kBound);
      cr_expect(hosts.Without(ChangeNumber{ number }).empty(),
                "seed %lu, number %lu: %zu hosts",
                seed,
                number,
                hosts.Without(ChangeNumber{ number }).size());
    }
    cr_expect(hosts.spinning.empty(), "seed %lu", seed);
  }
}
