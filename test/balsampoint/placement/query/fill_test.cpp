#include "balsampoint/placement/query/fill.hpp"

#include "balsampoint/placement/fixture.hpp"
#include "balsampoint/placement/query/plan_all.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::placement;
using namespace balsampoint::test;

namespace {

/**
 * @brief Reference fleet in which each engine holds its range of the first
 * plan.
 */
std::vector<Engine>
PlacedFleet()
{
  auto engines = ReferenceFleet();
  const auto plan = PlanAll(engines, kReferenceModel);
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
  const auto range = FillOne(engines.front(), engines, kReferenceModel);
  cr_assert(range.has_value());
  cr_assert_leq(range->Size() * kReferenceModel.layerMb, lost.memoryMb);
  bool helps = false;
  for (auto layer = range->begin; layer < range->end; ++layer) {
    helps = helps || lost.layers->Holds(layer);
  }
  cr_assert(helps);
}

Test(fill, a_redundant_engine_of_the_zone_closes_a_gap)
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
  const auto move = CloseGap(engines, kReferenceModel);
  cr_assert(move.has_value());
  cr_assert_lt(move->layers.begin, lost->end);
  cr_assert_gt(move->layers.end, lost->begin);
}

Test(fill, a_fleet_without_gaps_is_left_alone)
{
  cr_assert_not(CloseGap(PlacedFleet(), kReferenceModel).has_value());
}

Test(fill, an_engine_takes_more_layers_than_usual_to_close_a_gap)
{
  std::vector<Engine> engines;
  AddEngines(engines, "a", 3, 72000.0, 2.4);
  engines[0].layers = LayerRange{ 0, 37 };
  engines[1].layers = LayerRange{ 43, 80 };
  AddEngines(engines, "a", 1, 14400.0, 5.3);
  engines.erase(engines.begin() + 2);
  const auto range = FillOne(engines.back(), engines, kReferenceModel);
  cr_assert(range.has_value());
  cr_assert_eq(*range, (LayerRange{ 37, 43 }));
}

Test(fill, an_engine_extends_its_range_to_close_the_last_gap_of_its_zone)
{
  std::vector<Engine> engines;
  AddEngines(engines, "a", 2, 72000.0, 2.4);
  AddEngines(engines, "a", 1, 14400.0, 5.3);
  engines[0].layers = LayerRange{ 0, 38 };
  engines[1].layers = LayerRange{ 38, 74 };
  engines[2].layers = LayerRange{ 75, 80 };
  AddEngines(engines, "b", 3, 72000.0, 2.4);
  for (std::size_t at = 3; at < engines.size(); ++at) {
    const auto begin = static_cast<std::uint32_t>(at - 3) * 27;
    engines[at].layers = LayerRange{ begin, std::min(begin + 27, 80U) };
  }
  const auto move = CloseGap(engines, kReferenceModel);
  cr_assert(move.has_value());
  cr_assert_eq(move->server, engines[2].server);
  cr_assert_eq(move->layers, (LayerRange{ 74, 80 }));
}

Test(fill, the_last_holder_of_a_layer_is_not_moved)
{
  std::vector<Engine> engines;
  AddEngines(engines, "a", 2, 72000.0, 2.4);
  engines[0].layers = LayerRange{ 0, 38 };
  engines[1].layers = LayerRange{ 40, 78 };
  AddEngines(engines, "a", 2, 14400.0, 5.3);
  cr_assert_not(CloseGap(engines, kReferenceModel).has_value());
}

Test(fill, redundant_engines_close_a_wide_gap_together)
{
  std::vector<Engine> engines;
  AddEngines(engines, "a", 2, 72000.0, 2.4);
  engines[0].layers = LayerRange{ 0, 38 };
  engines[1].layers = LayerRange{ 0, 20 };
  AddEngines(engines, "a", 8, 14400.0, 5.3);
  for (std::size_t at = 2; at < engines.size(); ++at) {
    const auto begin = static_cast<std::uint32_t>(at - 2) * 5;
    engines[at].layers = LayerRange{ begin, begin + 5 };
  }
  AddEngines(engines, "b", 3, 72000.0, 2.4);
  for (std::size_t at = 10; at < engines.size(); ++at) {
    const auto begin = static_cast<std::uint32_t>(at - 10) * 27;
    engines[at].layers = LayerRange{ begin, std::min(begin + 27, 80U) };
  }
  const auto moves = CloseGaps(engines, kReferenceModel);
  cr_assert_gt(moves.size(), 1U);
  std::vector<int> held(80);
  for (std::size_t at = 0; at < 10; ++at) {
    const auto moved = moves.find(engines[at].server);
    const auto range =
      moved == moves.end() ? *engines[at].layers : moved->second;
    for (auto layer = range.begin; layer < range.end; ++layer) {
      ++held[layer];
    }
  }
  for (std::size_t layer = 0; layer < 38; ++layer) {
    cr_assert_gt(held[layer], 0, "layer %zu", layer);
  }
}
