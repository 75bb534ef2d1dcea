#include "dialect.hpp"

#include <chrono>
#include <criterion/criterion.h>
#include <limits>
#include <nlohmann/json.hpp>

using namespace balsampoint;
using platform::Dialect;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

Json
Example()
{
  return Json::parse(R"({
    "version": 7,
    "routes": [
      {"name": "r1", "hostname": "a.example", "path_prefix": "/x/",
       "kind": "streaming", "timeout_ms": 20000, "target_latency_ms": 500,
       "priority": 1, "max_attempts": 2, "public": false, "sticky": true,
       "resumable": true, "target_gap_ms": 250,
       "traffic_split": [{"service": "llm", "weight": 90},
                         {"service": "desk", "weight": 10}]},
      {"name": "r2", "hostname": "a.example", "path_prefix": "/y/",
       "kind": "unsafe", "timeout_ms": 600, "service": "desk",
       "public": true}],
    "services": [
      {"name": "llm", "max_conns": 908,
       "engine": {"slots": 192, "kv_bytes": 590000, "stride": 4,
                  "models": [{"name": "m", "load_s": 14.0}],
                  "step_ms": 1.02, "layers": 80, "layer_mb": 1750.0,
                  "pipe_mbps": 16000.0, "usual": {"prompt": 775, "answer": 220},
                  "kinds": [{"name": "a100", "mb": 72000.0, "pace": 2.4,
                             "read_x": 3.2}]}},
      {"name": "desk", "max_conns": 52}],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1}],
    "later": {"field": 1}})");
}

bool
IsInvalid(const Json& aJson)
{
  const auto read = Dialect::ReadConfiguration(aJson.dump());
  return !read && read.error().kind == ErrorKind::InvalidConfiguration;
}

} // namespace

Test(configuration, is_parsed_into_routes_services_and_workspaces)
{
  const auto read = Dialect::ReadConfiguration(Example().dump());
  cr_assert(read.has_value());
  cr_assert_eq(read->number, ChangeNumber{ 7 });
  const auto& route = read->routes.front();
  cr_assert_eq(route.kind, routing::RequestKind::ResumableStream);
  cr_assert_eq(route.targets.size(), 2U);
  cr_assert_eq(route.targetGap, Duration{ 250ms });
  cr_assert_eq(read->routes.back().kind, routing::RequestKind::NonIdempotent);
  cr_assert(read->routes.back().isPublic);
  const auto& engine = *read->services.at(ServiceId{ "llm" }).engine;
  cr_assert_eq(engine.tokensPerPass, 4U);
  cr_assert_eq(engine.loadTime, Duration{ 14s });
  cr_assert_eq(engine.kinds.at("a100").readFactor, 3.2);
  cr_assert_not(read->services.at(ServiceId{ "desk" }).engine.has_value());
  cr_assert_eq(read->workspaces.front().keys.size(), 2U);
  cr_assert_eq(read->limits.idleTimeout, Duration{ 15s });
}

Test(configuration, rejects_missing_fields_and_wrong_types)
{
  for (const auto* field : { "name", "hostname", "path_prefix", "kind" }) {
    auto missing = Example();
    missing["routes"][0].erase(field);
    cr_expect(IsInvalid(missing), "%s", field);
    auto other = Example();
    other["routes"][0][field] = 5;
    cr_expect(IsInvalid(other), "%s", field);
  }
  auto version = Example();
  version["version"] = -1;
  cr_expect(IsInvalid(version));
  auto kind = Example();
  kind["routes"][0]["kind"] = "sometimes";
  cr_expect(IsInvalid(kind));
  auto key = Example();
  key["tenants"][0]["api_keys"][0] = 1;
  cr_expect(IsInvalid(key));
  cr_expect_not(Dialect::ReadConfiguration("{\"version\": 7, \"rou"));
  cr_expect_not(Dialect::ReadConfiguration("[]"));
}

// Guards against counts that were cut to 32 bits and times that overflowed.
Test(configuration, rejects_numbers_beyond_their_limits)
{
  constexpr std::uint64_t kOver32Bits = 4294967296;
  for (const auto* field : { "layers", "slots", "stride" }) {
    auto large = Example();
    large["services"][0]["engine"][field] = kOver32Bits;
    cr_expect(IsInvalid(large), "%s", field);
  }
  auto weight = Example();
  weight["routes"][0]["traffic_split"][0]["weight"] = kOver32Bits;
  cr_expect(IsInvalid(weight));
  for (const auto* field : { "timeout_ms", "target_gap_ms" }) {
    auto endless = Example();
    endless["routes"][0][field] = std::numeric_limits<std::uint64_t>::max();
    cr_expect(IsInvalid(endless), "%s", field);
    auto negative = Example();
    negative["routes"][0][field] = -1;
    cr_expect(IsInvalid(negative), "%s", field);
  }
  auto load = Example();
  load["services"][0]["engine"]["models"][0]["load_s"] = 1e300;
  cr_expect(IsInvalid(load));
}
