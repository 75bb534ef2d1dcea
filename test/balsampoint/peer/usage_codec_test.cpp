#include "balsampoint/peer/usage_codec.hpp"

#include <chrono>
#include <criterion/criterion.h>

using namespace balsampoint;
using namespace std::chrono_literals;

namespace {

usage::Message
Again(const usage::Message& aMessage)
{
  const auto read = peer::DecodeUsageMessage(peer::Encode(aMessage));
  cr_assert(read.has_value());
  return *read;
}

std::vector<quarantine::SuspectReport>
Suspects()
{
  return { { .suspect = quarantine::SuspectId::Part(PromptPartId{ "5c1e07a2" }),
             .crashes = { { { ServerId{ "s" }, Incarnation{ 7 } }, 1500ms } },
             .answeredFor = 250ms,
             .activeFor = 1500ms },
           { .suspect = quarantine::SuspectId::Part(PromptPartId{ "91bd3f06" }),
             .activeFor = 1h },
           { .suspect = quarantine::SuspectId::Request("0f67e10d39eb3394"),
             .crashes = { { { ServerId{ "s" }, Incarnation{ 7 } }, 1500ms } },
             .activeFor = 1s,
             .cameAgain = true,
             .answersBegan = true } };
}

} // namespace

Test(usage_codec, work_and_suspects_survive_a_round_trip)
{
  const usage::LocalUsage own{
    { { .server = ServerId{ "s" }, .passing = 3, .sent = 1, .kv = 40.0 } },
    Suspects()
  };
  cr_assert(std::get<usage::LocalUsage>(Again(own)) == own);
  const usage::RemoteUsage others{ own.servers, 5, Suspects() };
  cr_assert(std::get<usage::RemoteUsage>(Again(others)) == others);
}

Test(usage_codec, detours_survive_a_round_trip)
{
  const usage::LocalUsage cutOff{ .needsDetours = true };
  cr_assert(std::get<usage::LocalUsage>(Again(cutOff)) == cutOff);
  const usage::LocalUsage open{ .detour = "10.0.0.1:7355" };
  cr_assert(std::get<usage::LocalUsage>(Again(open)) == open);
  const std::vector<reach::Detour> detours{
    { ZoneId{ "a" }, "10.0.0.1:7355" }, { ZoneId{ "b" }, "10.0.0.2:7355" }
  };
  const usage::RemoteUsage others{ .hosts = 3, .detours = detours };
  cr_assert(std::get<usage::RemoteUsage>(Again(others)) == others);
  const usage::FarUsage far{ .hosts = 3, .detours = detours };
  cr_assert(std::get<usage::FarUsage>(Again(far)) == far);
  const usage::GroupUsage group{ .zone = ZoneId{ "a" },
                                 .hosts = 3,
                                 .detours = detours };
  cr_assert(std::get<usage::GroupUsage>(Again(group)) == group);
}

Test(usage_codec, rates_and_demand_survive_a_round_trip)
{
  const usage::ServerUsage limited{ .server = ServerId{ "s" },
                                    .recent = 7,
                                    .rate = { { Incarnation{ 3 }, 2.5, 2s } } };
  const usage::ServerUsage ended{ .server = ServerId{ "t" },
                                  .rate = {
                                    { Incarnation{ 4 }, std::nullopt, 1s } } };
  const std::vector<usage::ServiceUsage> demand{ { ServiceId{ "d" }, 11.5 } };
  const usage::LocalUsage own{ { limited, ended }, {}, demand };
  cr_assert(std::get<usage::LocalUsage>(Again(own)) == own);
  const usage::FarUsage far{ { limited }, 5, {}, demand };
  cr_assert(std::get<usage::FarUsage>(Again(far)) == far);
  const usage::GroupUsage group{ ZoneId{ "a" }, 5, { ended }, {}, demand };
  cr_assert(std::get<usage::GroupUsage>(Again(group)) == group);
}

Test(usage_codec, rates_are_bounded)
{
  const usage::LocalUsage own{ {}, {}, { { ServiceId{ "d" }, -1.0 } } };
  cr_assert_eq(std::get<usage::LocalUsage>(Again(own)).services.front().demand,
               0.0);
}

Test(usage_codec, time_spans_are_bounded)
{
  const usage::LocalUsage own{
    {},
    { { .suspect = quarantine::SuspectId::Part(PromptPartId{ "p" }),
        .answeredFor = -1s,
        .activeFor = Duration::max() } }
  };
  const auto read = std::get<usage::LocalUsage>(Again(own));
  cr_assert_eq(*read.suspects.front().answeredFor, Duration{});
  cr_assert_eq(read.suspects.front().activeFor, Duration{ 24h });
}

// Guards against hosts that lose what others report of waiting prompts,
// rejections and urgent demand, or that pass a report on that no server can
// have.
Test(usage_codec, waiting_prompts_and_demand_by_urgency_survive_a_round_trip)
{
  const usage::ServiceUsage service{ .service = ServiceId{ "d" },
                                     .demand = 3.0,
                                     .byUrgency = { { 0, 812.5 },
                                                    { 2, 40.0 } } };
  const usage::LocalUsage own{
    .servers = { { .server = ServerId{ "s" },
                   .passing = 1,
                   .waitingPrompt = 16000.0,
                   .rejection = usage::Rejection{ 250ms, 0.75 } } },
    .services = { service }
  };
  cr_assert(std::get<usage::LocalUsage>(Again(own)) == own);
  const usage::LocalUsage impossible{ .services = {
                                        { .service = ServiceId{ "d" },
                                          .byUrgency = { { 0, -5.0 } } } } };
  const auto read = std::get<usage::LocalUsage>(Again(impossible));
  cr_assert(read.services.front().byUrgency.front().kvPerSecond == 0.0);
}
