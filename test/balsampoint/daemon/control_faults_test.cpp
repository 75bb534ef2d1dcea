#include "balsampoint/daemon/control_faults.hpp"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace balsampoint;
using namespace balsampoint::daemon::test;

namespace {

/** @brief A number from the environment, for longer runs by hand. */
std::uint64_t
Parameter(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::stoull(text);
}

void
Play(ControlFaults::Size aSize, std::uint64_t aFirst, std::uint64_t aDays)
{
  std::uint64_t failed = 0;
  for (std::uint64_t seed = aFirst; seed < aFirst + aDays; ++seed) {
    ControlFaults faults{ seed, aSize };
    const auto wrong = faults.Play();
    if (wrong.empty()) {
      continue;
    }
    ++failed;
    cr_log_error("seed %lu: %s", seed, wrong.c_str());
  }
  cr_assert_eq(failed, 0, "%lu of %lu days", failed, aDays);
}

} // namespace

// Guards against a control group without a leader after faults that it has to
// bear: an acknowledged configuration could not be read back.
Test(control_faults, what_was_acknowledged_is_read_back_after_a_final_fault)
{
  constexpr std::uint64_t kDays = 100;
  Play({ .hosts = 6, .losses = 2 },
       Parameter("CONTROL_FIRST_SEED", 1),
       Parameter("CONTROL_DAYS", kDays));
}

Test(control_faults,
     what_was_acknowledged_is_read_back_in_groups_of_other_sizes)
{
  constexpr std::uint64_t kDays = 40;
  for (const ControlFaults::Size size :
       { ControlFaults::Size{ 3, 1 }, ControlFaults::Size{ 8, 2 } }) {
    Play(size,
         Parameter("CONTROL_FIRST_SEED", 1),
         Parameter("CONTROL_DAYS", kDays));
  }
}
