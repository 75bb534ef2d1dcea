#include "balsampoint/config/query/verify_key.hpp"
#include "balsampoint/daemon/routing_query.hpp"
#include "balsampoint/edge/room_wait.hpp"
#include "balsampoint/edge/routing_explanation.hpp"
#include "balsampoint/edge/server_choice.hpp"
#include "balsampoint/fleet/command/follow_roster.hpp"
#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/limit/command/follow_demand.hpp"

#include <criterion/criterion.h>
#include <set>
#include <string>

using namespace balsampoint;
using namespace balsampoint::edge;

namespace {

const ServiceId kEngines{ "llm" };
const ServiceId kPlain{ "web" };
constexpr std::uint64_t kSeed = 7;

routing::Document
Configuration()
{
  routing::EngineProfile engine;
  engine.layers = 8;
  engine.layerMb = 10.0;
  engine.kvBytesPerToken = 8000.0;
  engine.slots = 8;
  engine.tokensPerPass = 4;
  engine.stepMs = 1.0;
  engine.perWriterMs = 0.1;
  engine.readTokensPerSecond = 100000.0;
  engine.meanPromptTokens = 100.0;
  engine.meanAnswerTokens = 40.0;
  engine.kinds = { { "fast", { .memoryMb = 100.0 } } };
  routing::Document document{ .number = ChangeNumber{ 1 } };
  document.services[kEngines] = { .id = kEngines, .engine = engine };
  document.services[kPlain] = { .id = kPlain };
  document.routes = { { .name = "chat",
                        .host = "h",
                        .pathPrefix = "/chat/",
                        .timeout = std::chrono::seconds{ 4 },
                        .priority = 2,
                        .targets = { { kEngines, 3 }, { kPlain, 1 } } } };
  document.workspaces = {
    { .id = WorkspaceId{ "w" }, .keys = { "k" }, .priority = 1 }
  };
  return document;
}

roster::View
Servers()
{
  roster::View view;
  for (const std::string name : { "a", "b", "c", "d", "e", "f" }) {
    const bool plain = name == "e" || name == "f";
    roster::Server server;
    server.claim.server = ServerId{ name };
    server.claim.stamp = { Incarnation{ 1 }, 0 };
    auto& description = server.claim.description;
    description = { .service = plain ? kPlain : kEngines,
                    .address = name + ":80",
                    .zone = ZoneId{ name == "a" ? "z" : "y" } };
    if (!plain) {
      description.accelerator = "fast";
      description.layers = LayerRange{ 0, 8 };
      description.slots = 8;
    }
    view.servers.push_back(server);
  }
  return view;
}

/** @brief A traffic thread's state with servers of two services. */
struct Host
{
  Host()
    : traffic{ loop, { .zone = ZoneId{ "z" } }, {}, {}, kSeed }
  {
    auto table = routing::Table::Make(Configuration());
    cr_assert(table.has_value());
    traffic.routes = *table;
    traffic.servers = std::make_shared<const roster::View>(Servers());
    fleet::FollowRoster(
      traffic.fleet, *traffic.servers, traffic.routes->Source());
  }

  net::Loop loop;
  TrafficState traffic;
};

RouteQuestion
Question()
{
  RouteQuestion question{ .path = "/chat/x", .workspace = WorkspaceId{ "w" } };
  question.parameters.host = "h";
  return question;
}

/** @brief Admits a request and reserves its servers, as an exchange does. */
fleet::Chain
Send(TrafficState& aTraffic)
{
  RequestParameters parameters{ .host = "h", .key = "k" };
  Admission admission;
  cr_assert(Admit(aTraffic, parameters, "/chat/x", admission).has_value());
  const std::set<ServerId> none;
  auto chain =
    ChooseServers(aTraffic, *admission.service, parameters, { none, none });
  cr_assert(chain.has_value());
  fleet::Reserve(aTraffic.fleet,
                 admission.service->id,
                 chain->hops,
                 { chain->tokens, chain->promptTokens });
  return *chain;
}

} // namespace

// Guards against an explanation that names other servers than the next request
// takes, or that changes where it goes.
Test(routing_explanation, the_next_request_goes_where_it_says)
{
  Host host;
  std::set<std::string> services;
  std::set<ServerId> servers;
  for (int request = 0; request < 20; ++request) {
    const auto explained = ExplainRouting(host.traffic, Question());
    const auto again = ExplainRouting(host.traffic, Question());
    cr_assert(explained.verdict.has_value());
    cr_assert(explained.chain.has_value());
    cr_assert(again.chain->hops == explained.chain->hops);
    cr_expect_eq(explained.urgency, 1);
    const auto sent = Send(host.traffic);
    cr_assert(sent.hops == explained.chain->hops);
    services.insert(explained.admission.service->id.String());
    servers.insert(sent.hops.front().server);
  }
  cr_expect_eq(services.size(), 2);
  cr_expect_gt(servers.size(), 2);
}

// Guards against an explanation that counts as demand for a service.
Test(routing_explanation, counts_nothing)
{
  Host host;
  const auto random = host.traffic.random;
  static_cast<void>(ExplainRouting(host.traffic, Question()));
  const auto now = TrafficState::Now();
  for (const auto& [id, group] : host.traffic.fleet.groups) {
    cr_expect_eq(group.choices.Within(std::chrono::seconds{ 2 }, now), 0);
    for (const auto& [name, server] : group.servers) {
      cr_expect_eq(server.Passing() + server.Sent() + server.KvUsed(), 0.0);
    }
  }
  auto before = random;
  auto after = host.traffic.random;
  cr_expect_eq(before.Next(), after.Next());
}

// Guards against a server that is left out without a reason.
Test(routing_explanation, says_what_keeps_a_server_out)
{
  Host host;
  auto& servers = host.traffic.fleet.groups.at(kEngines).servers;
  const auto later = TrafficState::Now() + std::chrono::minutes{ 1 };
  servers.at(ServerId{ "a" }).unreachableUntil = later;
  servers.at(ServerId{ "b" }).avoidUntil = later;
  servers.at(ServerId{ "c" }).localWork.kv = 1e12;
  const std::set<ServerId> none;
  const auto found = DescribeServers(host.traffic.fleet,
                                     Configuration().services.at(kEngines),
                                     {},
                                     { none, none },
                                     kSeed,
                                     TrafficState::Now());
  cr_assert_eq(found.size(), 4);
  cr_expect_eq(found[0].excluded, "out of reach");
  cr_expect_eq(found[1].excluded, "avoided after faults");
  cr_expect_eq(found[2].excluded, "full");
  cr_expect(found[3].excluded.empty());
  cr_expect(found[3].cost.has_value());
  cr_expect_not(found[2].cost.has_value());
}

// Guards against an explanation that finds room for a request of low urgency
// which the traffic refuses, as it may fill the servers less.
Test(routing_explanation, a_level_below_the_fill_of_the_servers_leaves_no_chain)
{
  Host host;
  auto document = Configuration();
  document.routes.front().targets = { { kEngines, 1 } };
  document.routes.push_back({ .name = "first",
                              .host = "h",
                              .pathPrefix = "/first/",
                              .timeout = std::chrono::seconds{ 4 },
                              .priority = 0,
                              .targets = { { kEngines, 1 } },
                              .isPublic = true });
  auto table = routing::Table::Make(document);
  cr_assert(table.has_value());
  host.traffic.routes = *table;
  FollowUrgencies(host.traffic);
  const auto now = TrafficState::Now();
  limit::SetRemoteDemand(
    host.traffic.shortage, kEngines, { { 0, 1e9 } }, 1.0, now);
  for (auto& [id, server] : host.traffic.fleet.groups.at(kEngines).servers) {
    server.remoteWork.kv = 0.8 * server.kvCapacity;
  }
  auto question = Question();
  const auto refused = ExplainRouting(host.traffic, question);
  cr_assert(refused.shortage.has_value());
  cr_expect_lt(refused.shortage->requestLevel.fraction, 0.8);
  cr_expect_not(refused.chain.has_value());
  question.path = "/first/x";
  const auto admitted = ExplainRouting(host.traffic, question);
  cr_expect(admitted.chain.has_value());
}

// Guards against callers who learn the state of the servers.
Test(routing_explanation, needs_an_operators_key)
{
  Host host;
  const std::string key = "op.secret";
  const std::vector<config::KeyHash> keys{ config::HashKey(key, "salt") };
  const auto index = config::KeyIndex::Make({}, keys);
  wire::RequestHead head{
    .method = "GET",
    .target = "/v1/route-of?path=%2Fchat%2Fx&host=h&workspace=w"
  };
  const auto status = [&] {
    return daemon::AnswerRoutingQuery(host.traffic, index, head).status;
  };
  cr_expect_eq(status(), 401);
  head.fields.Add("Authorization", "Bearer op.wrong");
  cr_expect_eq(status(), 401);
  head.fields = {};
  head.fields.Add("Authorization", "Bearer " + key);
  cr_expect_eq(status(), 200);
  head.target += "&prompt_tokens=many";
  cr_expect_eq(status(), 400);
}
