#include "engine/batch_schedule.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::engine;
using std::chrono::microseconds;

Test(batch_schedule, calls_that_come_during_an_iteration_share_the_next)
{
  BatchSchedule schedule{ { .overhead = microseconds{ 100 },
                            .perLayer = microseconds{ 10 },
                            .maxBatch = 2 } };
  const auto at = [](int aMicros) {
    return Instant{ microseconds{ aMicros } };
  };
  cr_assert_eq(schedule.Place(at(1000), 10), at(1200));
  cr_assert_eq(schedule.Place(at(1050), 10), at(1400));
  cr_assert_eq(schedule.Place(at(1060), 10), at(1400));
  cr_assert_eq(schedule.Place(at(1070), 10), at(1600));
}
