#include "balsampoint/placement/query/fill.hpp"

#include "balsampoint/placement/fixture.hpp"
#include "balsampoint/placement/query/plan_all.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::placement;
using namespace balsampoint::test;

namespace {

/** @brief The users' fleet with its first plan carried out. */
std::vector<Engine>
PlacedFleet()
{
  auto engines = UsersFleet();
  const auto plan = PlanAll(engines, kUsersModel);
  for (auto& engine : engines) {
    engine.layers = plan.at(engine.server);
  }
  return engines;
}

} // namespace

Test(fill, an_engine_that_comes_back_gets_the_layers_that_its_zone_lacks)
{
  auto engines = PlacedFleet();
  const auto lost = engines.front();
  engines.front().layers.reset();
  const auto range = FillOne(engines.front(), engines, kUsersModel);
  cr_assert(range.has_value());
  cr_assert_leq(range->Size() * kUsersModel.layerMb, lost.memoryMb);
  bool helps = false;
  for (auto layer = range->begin; layer < range->end; ++layer) {
    helps = helps || lost.layers->Holds(layer);
  }
  cr_assert(helps);
}

Test(fill, a_spare_engine_of_the_zone_closes_a_gap)
{
  auto engines = PlacedFleet();
  std::optional<LayerRange> lost;
  for (auto& engine : engines) {
    const bool fast = engine.stepFactor < 16.0;
    if (engine.zone == ZoneId{ "c" } && fast && engine.layers->begin > 40) {
      lost = engine.layers;
      std::erase_if(engines, [id = engine.server](const Engine& aEngine) {
        return aEngine.server == id;
      });
      break;
    }
  }
  cr_assert(lost.has_value());
  const auto move = CloseGap(engines, kUsersModel);
  cr_assert(move.has_value());
  cr_assert_lt(move->layers.begin, lost->end);
  cr_assert_gt(move->layers.end, lost->begin);
}

Test(fill, a_fleet_without_gaps_is_left_alone)
{
  cr_assert_not(CloseGap(PlacedFleet(), kUsersModel).has_value());
}
