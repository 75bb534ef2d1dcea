#include "dialect.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <string>

using namespace balsampoint;
using platform::Dialect;
using Json = nlohmann::json;

namespace {

Json
Heartbeat()
{
  return Json::parse(R"({"service": "s", "address": "10.0.0.9:80",
    "zone": "a", "version": "v1", "slots": 192, "state": "ready",
    "cold_left_ms": 0, "stage": "both", "kind": "a100",
    "layers": {"from": 20, "target": 31, "version": 1},
    "seq": 4, "born": 1700000000000})");
}

bool
IsInvalid(const Json& aJson)
{
  return !Dialect::ReadHeartbeat("i-1", aJson.dump()).has_value();
}

wire::RequestHead
Head(std::string aMethod, std::string aTarget)
{
  return { .method = std::move(aMethod), .target = std::move(aTarget) };
}

} // namespace

Test(control, a_heartbeat_is_parsed_into_a_claim)
{
  const auto claim = Dialect::ReadHeartbeat("i-1", Heartbeat().dump());
  cr_assert(claim.has_value());
  cr_assert_eq(claim->server, ServerId{ "i-1" });
  cr_assert_eq(claim->stamp.incarnation, Incarnation{ 1700000000000 });
  cr_assert_eq(claim->description.layers->begin, 20U);
  cr_assert_eq(claim->description.layers->end, 31U);
  auto leaving = Heartbeat();
  leaving["state"] = "draining";
  leaving["layers"] = Json::parse(R"({"from": 0, "target": 0, "version": 0})");
  const auto other = Dialect::ReadHeartbeat("i-1", leaving.dump());
  cr_assert_eq(other->presence, roster::Presence::Leaving);
  cr_assert_not(other->description.layers.has_value());
}

Test(control, invalid_heartbeats_are_rejected)
{
  for (const auto* field : { "service", "address", "zone", "state", "seq" }) {
    auto missing = Heartbeat();
    missing.erase(field);
    cr_expect(IsInvalid(missing), "%s", field);
    auto other = Heartbeat();
    other[field] = Json::array();
    cr_expect(IsInvalid(other), "%s", field);
  }
  auto state = Heartbeat();
  state["state"] = "dreaming";
  cr_expect(IsInvalid(state));
  cr_expect_not(Dialect::ReadHeartbeat("i-1", "\x01\x02"));
}

Test(control, calls_are_distinguished_by_method_and_path)
{
  cr_assert(std::holds_alternative<edge::PutConfiguration>(
    *Dialect::ReadControlCall(Head("PUT", "/config"))));
  cr_assert(std::holds_alternative<edge::GetConfiguration>(
    *Dialect::ReadControlCall(Head("GET", "/config"))));
  const auto heartbeat =
    Dialect::ReadControlCall(Head("PUT", "/instances/i-1"));
  cr_assert_eq(std::get<edge::ServerHeartbeat>(*heartbeat).server,
               ServerId{ "i-1" });
  const auto signOff =
    Dialect::ReadControlCall(Head("DELETE", "/instances/i-1"));
  cr_assert(std::holds_alternative<edge::ServerSignOff>(*signOff));
  cr_assert_not(Dialect::ReadControlCall(Head("PUT", "/instances/")));
  cr_assert_not(Dialect::ReadControlCall(Head("POST", "/config")));
}

Test(control, a_layer_order_names_the_engine_and_its_precondition)
{
  const auto text = Dialect::WriteLayerOrder({ .layers = { 20, 31 },
                                               .expectedOrders = 2,
                                               .fencing = FencingNumber{ 5 } },
                                             "i-1");
  cr_assert_neq(text.find("POST /order HTTP/1.1\r\n"), std::string::npos);
  cr_assert_neq(text.find("X-Expect-Instance: i-1\r\n"), std::string::npos);
  const auto body = Json::parse(text.substr(text.find("\r\n\r\n") + 4));
  cr_assert_eq(body["operation"], "place");
  cr_assert_eq(body["target"], 31);
  cr_assert_eq(body["precondition"], 2);
  cr_assert_eq(body["fencing_token"], 5);
}

Test(control, an_engine_report_is_parsed)
{
  const auto report = Dialect::ReadReport(
    R"({"seq": 2, "busy": true, "layers": {"from": 0, "target": 8}})");
  cr_assert(report.has_value());
  cr_assert_eq(report->orders, 2U);
  cr_assert(report->busy);
  cr_assert_eq(report->layers->end, 8U);
  cr_assert_not(Dialect::ReadReport("{}").has_value());
}
