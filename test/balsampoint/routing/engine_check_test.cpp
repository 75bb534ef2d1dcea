#include "balsampoint/routing/engine_check.hpp"

#include "balsampoint/routing/table.hpp"

#include <criterion/criterion.h>
#include <limits>

using namespace balsampoint;
using namespace balsampoint::routing;

namespace {

Service
MakeService()
{
  EngineProfile engine;
  engine.layers = 80;
  engine.layerMb = 1750.0;
  engine.kinds = { { "fast", { .memoryMb = 72000.0 } } };
  return { .id = ServiceId{ "verse" }, .engine = engine };
}

} // namespace

// Guards against a configuration that was accepted and then ended each entry
// host at its first request.
Test(engine_check, a_model_has_between_one_and_the_most_layers)
{
  auto service = MakeService();
  cr_expect(CheckEngine(service).has_value());
  service.engine->layers = kMaxLayers;
  cr_expect(CheckEngine(service).has_value());
  for (const auto layers :
       { 0U, kMaxLayers + 1, std::numeric_limits<std::uint32_t>::max() }) {
    service.engine->layers = layers;
    const auto checked = CheckEngine(service);
    cr_assert_not(checked.has_value());
    cr_expect_eq(checked.error().kind, ErrorKind::InvalidConfiguration);
  }
}

Test(engine_check, sizes_are_not_negative)
{
  auto size = MakeService();
  size.engine->layerMb = -1.0;
  cr_expect_not(CheckEngine(size).has_value());
  auto factor = MakeService();
  factor.engine->kinds["fast"].stepFactor = -1.0;
  cr_expect_not(CheckEngine(factor).has_value());
  auto time = MakeService();
  time.engine->loadTime = -Duration{ 1 };
  cr_expect_not(CheckEngine(time).has_value());
}

Test(engine_check, a_table_refuses_what_the_check_refuses)
{
  auto service = MakeService();
  service.engine->layers = 0;
  Document document{ .number = ChangeNumber{ 3 } };
  document.services[service.id] = service;
  cr_assert_not(Table::Make(document).has_value());
  document.services[service.id].engine->layers = 1;
  cr_assert(Table::Make(document).has_value());
}
