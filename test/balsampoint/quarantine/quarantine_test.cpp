#include "balsampoint/quarantine/command/admit.hpp"
#include "balsampoint/quarantine/command/merge_reports.hpp"
#include "balsampoint/quarantine/command/record_outcome.hpp"
#include "balsampoint/quarantine/query/is_quarantined.hpp"
#include "balsampoint/quarantine/query/make_reports.hpp"

#include <criterion/criterion.h>
#include <set>

using namespace balsampoint;
using namespace balsampoint::quarantine;
using namespace std::chrono_literals;

namespace {

using Parts = std::vector<SuspectId>;

constexpr Instant kNow{ 1h };
const auto kDeadly = SuspectId::Part(PromptPartId{ "deadly" });
const auto kFirst = SuspectId::Part(PromptPartId{ "first" });
const auto kOther = SuspectId::Part(PromptPartId{ "other" });

CrashedServer
Server(std::uint64_t aNumber)
{
  return { ServerId{ "s" + std::to_string(aNumber) }, Incarnation{ 1 } };
}

/** @brief Passes what some hosts know to one host, as a collector does. */
void
Exchange(State& aTo, std::span<const State> aFrom, Instant aNow)
{
  std::vector<SuspectReport> reports;
  for (const auto& host : aFrom) {
    for (auto& report : MakeReports(host, aNow)) {
      reports.push_back(std::move(report));
    }
  }
  MergeReports(aTo, Join(reports), aNow);
}

} // namespace

Test(quarantine, two_crashes_under_a_part_without_an_answer_are_enough)
{
  State state;
  RecordCrash(state, Parts{ kDeadly }, Server(1), kNow);
  RecordCrash(state, Parts{ kDeadly }, Server(2), kNow + 600ms);
  cr_assert(IsQuarantined(state, Parts{ kDeadly }));
  cr_assert(IsQuarantined(state, Parts{ kOther, kDeadly }));
  cr_assert_not(IsQuarantined(state, Parts{ kOther }));
  cr_assert_not(IsQuarantined(state, Parts{}));
}

Test(quarantine, two_crashes_of_one_server_count_once)
{
  State state;
  RecordCrash(state, Parts{ kDeadly }, Server(1), kNow);
  RecordCrash(state, Parts{ kDeadly }, Server(1), kNow + 600ms);
  cr_assert_not(IsQuarantined(state, Parts{ kDeadly }));
}

Test(quarantine, a_part_that_was_answered_before_needs_three_crashes)
{
  State state;
  RecordAnswer(state, Parts{ kDeadly }, kNow);
  RecordCrash(state, Parts{ kDeadly }, Server(1), kNow + 1s);
  RecordCrash(state, Parts{ kDeadly }, Server(2), kNow + 2s);
  cr_assert_not(IsQuarantined(state, Parts{ kDeadly }));
  RecordCrash(state, Parts{ kDeadly }, Server(3), kNow + 3s);
  cr_assert(IsQuarantined(state, Parts{ kDeadly }));
}

// Guards against a verdict on a part of which many requests are in flight when
// several servers fail at once.
Test(quarantine, crashes_at_one_moment_count_once)
{
  State state;
  for (std::uint64_t server = 1; server <= 9; ++server) {
    RecordCrash(state, Parts{ kOther }, Server(server), kNow + server * 10ms);
  }
  MergeReports(state, {}, kNow + 5s);
  cr_assert_not(IsQuarantined(state, Parts{ kOther }));
}

Test(quarantine, an_answer_refutes_the_crashes_before_it)
{
  State state;
  for (std::uint64_t server = 1; server <= 9; ++server) {
    RecordCrash(state, Parts{ kOther }, Server(server), kNow + server * 1s);
    RecordAnswer(state, Parts{ kOther }, kNow + server * 1s + 500ms);
  }
  cr_assert_not(IsQuarantined(state, Parts{ kOther }));
  cr_assert(state.suspects.empty());
}

Test(quarantine, the_part_with_most_crashes_explains_them)
{
  State state;
  RecordCrash(state, Parts{ kFirst, kDeadly }, Server(1), kNow);
  RecordCrash(state, Parts{ kFirst, kDeadly }, Server(2), kNow + 300ms);
  RecordCrash(state, Parts{ kOther, kDeadly }, Server(3), kNow + 600ms);
  cr_assert(IsQuarantined(state, Parts{ kOther, kDeadly }));
  cr_assert_not(IsQuarantined(state, Parts{ kFirst }));
  cr_assert_not(IsQuarantined(state, Parts{ kOther }));
}

Test(quarantine, parts_that_always_come_together_are_refused_together)
{
  State state;
  RecordCrash(state, Parts{ kFirst, kDeadly }, Server(1), kNow);
  RecordCrash(state, Parts{ kFirst, kDeadly }, Server(2), kNow + 600ms);
  cr_assert(IsQuarantined(state, Parts{ kFirst, kDeadly }));
  cr_assert_not(IsQuarantined(state, Parts{ kFirst, kOther }));
}

Test(quarantine, the_evidence_of_several_hosts_is_joined)
{
  std::vector<State> hosts(4);
  RecordCrash(hosts[0], Parts{ kFirst, kDeadly }, Server(1), kNow);
  RecordCrash(hosts[1], Parts{ kFirst, kDeadly }, Server(2), kNow + 300ms);
  RecordAnswer(hosts[2], Parts{ kFirst }, kNow + 400ms);
  auto now = kNow + 600ms;
  for (int round = 0; round < 3; ++round) {
    for (auto& host : hosts) {
      Exchange(host, hosts, now);
      now += 50ms;
    }
  }
  for (const auto& host : hosts) {
    cr_assert(IsQuarantined(host, Parts{ kOther, kDeadly }));
    cr_assert_not(IsQuarantined(host, Parts{ kFirst }));
  }
}

// Guards against two crashes that count as one for ever, since the first report
// of the earlier one was late.
Test(quarantine, the_earliest_estimate_of_a_crash_counts)
{
  State state;
  RecordCrash(state, Parts{ kDeadly }, Server(2), kNow);
  SuspectReport report{ .suspect = kDeadly,
                        .crashes = { { Server(1), 250ms } },
                        .activeFor = 250ms };
  MergeReports(state, std::span{ &report, 1 }, kNow + 300ms);
  MergeReports(state, {}, kNow + 1s);
  cr_assert_not(IsQuarantined(state, Parts{ kDeadly }));
  report.crashes.front().age = 1500ms;
  MergeReports(state, std::span{ &report, 1 }, kNow + 1200ms);
  cr_assert(IsQuarantined(state, Parts{ kDeadly }));
}

// Guards against reports that hosts repeat to each other for ever.
Test(quarantine, a_part_is_forgotten_by_all_hosts)
{
  std::vector<State> hosts(3);
  RecordCrash(hosts[0], Parts{ kDeadly }, Server(1), kNow);
  RecordCrash(hosts[0], Parts{ kDeadly }, Server(2), kNow + 600ms);
  RecordAnswer(hosts[1], Parts{ kOther }, kNow);
  const auto end = kNow + 11min;
  for (auto now = kNow + 1s; now < end; now += 400ms) {
    for (auto& host : hosts) {
      Exchange(host, hosts, now);
    }
  }
  for (const auto& host : hosts) {
    cr_assert(host.suspects.empty());
    cr_assert(host.verdicts.empty());
  }
}

Test(quarantine, a_refused_request_keeps_the_verdict_and_a_trial_can_end_it)
{
  State state;
  RecordCrash(state, Parts{ kOther }, Server(1), kNow);
  RecordCrash(state, Parts{ kOther }, Server(2), kNow + 1s);
  const auto wait = Admit(state, Parts{ kOther }, kNow + 2s);
  cr_assert_geq(*wait, Duration{ 5min });
  cr_assert_leq(*wait, Duration{ 10min });
  const auto trialAt = kNow + 2s + *wait;
  cr_assert_eq(*Admit(state, Parts{ kOther }, trialAt - 1s), Duration{ 1s });
  cr_assert_not(Admit(state, Parts{ kFirst }, trialAt - 1s));
  cr_assert_not(Admit(state, Parts{ kOther }, trialAt));
  cr_assert(Admit(state, Parts{ kOther }, trialAt));
  RecordAnswer(state, Parts{ kOther }, trialAt + 1s);
  cr_assert_not(Admit(state, Parts{ kOther }, trialAt + 2s));
}

// Guards against trials of all hosts at one time, which would crash several
// servers at once.
Test(quarantine, the_trials_of_the_hosts_are_spread)
{
  constexpr std::uint32_t kHosts = 10;
  std::set<std::int64_t> minutes;
  for (std::uint32_t host = 0; host < kHosts; ++host) {
    State state{ .hosts = kHosts, .random = SplitMix64{ host } };
    RecordCrash(state, Parts{ kOther }, Server(1), kNow);
    RecordCrash(state, Parts{ kOther }, Server(2), kNow + 1s);
    const auto wait = *Admit(state, Parts{ kOther }, kNow + 2s);
    cr_assert_geq(wait, Duration{ 5min });
    minutes.insert(
      std::chrono::duration_cast<std::chrono::minutes>(wait).count());
  }
  cr_assert_geq(minutes.size(), kHosts / 2);
}

Test(quarantine, its_memory_is_bounded)
{
  State state;
  for (std::uint64_t part = 0; part < 10000; ++part) {
    const Parts parts{ SuspectId::Part(PromptPartId{ std::to_string(part) }) };
    RecordAnswer(state, parts, kNow + part * 1ms);
    RecordCrash(state, parts, Server(part), kNow + part * 1ms + 500us);
  }
  cr_assert_leq(state.suspects.size(), state.settings.maxSuspects);
  cr_assert_leq(state.answered.size(), state.settings.maxAnswered);
  cr_assert_leq(MakeReports(state, kNow + 1min).size(),
                state.settings.maxReports);
}

// Guards against a whole request that crashes one server after the other, whose
// parts are also those of sound requests.
Test(quarantine, a_request_is_refused_and_not_its_parts)
{
  State state;
  const auto deadly = SuspectId::Request("deadly");
  const auto sound = SuspectId::Request("sound");
  RecordCrash(state, Parts{ deadly, kFirst }, Server(1), kNow);
  RecordCrash(state, Parts{ deadly, kFirst }, Server(2), kNow + 600ms);
  cr_assert(IsQuarantined(state, Parts{ deadly, kFirst }));
  cr_assert_not(IsQuarantined(state, Parts{ sound, kFirst }));
}

Test(quarantine, a_part_explains_more_crashes_than_its_requests)
{
  State state;
  const auto one = SuspectId::Request("one");
  const auto two = SuspectId::Request("two");
  RecordCrash(state, Parts{ one, kDeadly }, Server(1), kNow);
  RecordCrash(state, Parts{ two, kDeadly }, Server(2), kNow + 300ms);
  RecordCrash(state, Parts{ two, kDeadly }, Server(3), kNow + 600ms);
  cr_assert(IsQuarantined(state, Parts{ SuspectId::Request("x"), kDeadly }));
  cr_assert_not(IsQuarantined(state, Parts{ two }));
}

// Guards against condemning the requests in mid-answer on servers that another
// request crashed.
Test(quarantine, a_request_whose_answer_had_begun_needs_three_crashes)
{
  State state;
  const Parts deadly{ SuspectId::Request("deadly") };
  const Parts sound{ SuspectId::Request("sound") };
  for (std::uint64_t server = 1; server <= 2; ++server) {
    const auto at = kNow + server * 600ms;
    RecordCrash(state, sound, Server(server), at, AnswerProgress::Begun);
    RecordCrash(state, deadly, Server(server), at);
  }
  cr_assert(IsQuarantined(state, deadly));
  cr_assert_not(IsQuarantined(state, sound));
  State other;
  for (std::uint64_t server = 1; server <= 3; ++server) {
    const auto at = kNow + server * 600ms;
    cr_assert_not(IsQuarantined(other, deadly));
    RecordCrash(other, deadly, Server(server), at, AnswerProgress::Begun);
  }
  cr_assert(IsQuarantined(other, deadly));
}

// Guards against hosts that forget, when they hear of their own suspects from a
// collector, that the answers to these had begun.
Test(quarantine, reports_tell_whether_answers_had_begun)
{
  std::vector<State> hosts(3);
  const Parts sound{ SuspectId::Request("sound") };
  for (std::uint64_t server = 1; server <= 2; ++server) {
    RecordCrash(hosts[0],
                sound,
                Server(server),
                kNow + server * 300ms,
                AnswerProgress::Begun);
  }
  for (auto now = kNow + 700ms; now < kNow + 3s; now += 200ms) {
    for (auto& host : hosts) {
      Exchange(host, hosts, now);
      cr_assert_not(IsQuarantined(host, sound));
    }
  }
  RecordCrash(hosts[1], sound, Server(3), kNow + 3s, AnswerProgress::Begun);
  cr_assert(IsQuarantined(hosts[1], sound));
}

Test(quarantine, a_request_is_in_doubt_after_one_crash)
{
  State state;
  const Parts deadly{ SuspectId::Request("deadly"), kFirst };
  cr_assert_not(Admit(state, deadly, kNow));
  RecordCrash(state, deadly, Server(1), kNow);
  cr_assert(MayRepeat(state, deadly));
  const auto wait = Admit(state, deadly, kNow + 1s);
  cr_assert_geq(*wait, Duration{ 9s });
  cr_assert_leq(*wait, Duration{ 19s });
  // It came again, so the first one isn't repeated either.
  cr_assert_not(MayRepeat(state, deadly));
  cr_assert_not(Admit(state, Parts{ SuspectId::Request("x"), kFirst }, kNow));
  // One is tried, and the next ones wait for its outcome.
  cr_assert_not(Admit(state, deadly, kNow + 1s + *wait));
  cr_assert(Admit(state, deadly, kNow + 2s + *wait));
  RecordAnswer(state, deadly, kNow + 3s + *wait);
  cr_assert_not(Admit(state, deadly, kNow + 4s + *wait));
}

// Guards against refusing callers that resume a stream whose server crashed.
Test(quarantine, a_request_whose_answer_had_begun_is_not_in_doubt)
{
  State state;
  const Parts stream{ SuspectId::Request("stream") };
  RecordCrash(state, stream, Server(1), kNow, AnswerProgress::Begun);
  cr_assert_not(Admit(state, stream, kNow + 1s));
  cr_assert(MayRepeat(state, stream));
}

// Guards against refusing a popular request because a server crashed for other
// reasons.
Test(quarantine, a_request_that_was_answered_before_is_not_in_doubt)
{
  State state;
  const Parts popular{ SuspectId::Request("popular") };
  RecordAnswer(state, popular, kNow);
  RecordCrash(state, popular, Server(1), kNow + 1s);
  RecordCrash(state, popular, Server(2), kNow + 2s);
  cr_assert_not(Admit(state, popular, kNow + 3s));
  cr_assert(MayRepeat(state, popular));
  RecordCrash(state, popular, Server(3), kNow + 4s);
  cr_assert(Admit(state, popular, kNow + 5s));
}

Test(quarantine, all_hosts_refuse_a_request_in_doubt)
{
  std::vector<State> hosts(9);
  const Parts deadly{ SuspectId::Request("deadly") };
  RecordCrash(hosts[0], deadly, Server(1), kNow);
  Exchange(hosts[5], hosts, kNow + 300ms);
  cr_assert(Admit(hosts[5], deadly, kNow + 400ms));
  cr_assert(MayRepeat(hosts[0], deadly));
  Exchange(hosts[0], hosts, kNow + 500ms);
  cr_assert_not(MayRepeat(hosts[0], deadly));
}

// Guards against a request that falls out of the bounded reports, because many
// sound ones were in flight on the server that it crashed.
Test(quarantine, every_request_of_a_crashed_server_is_reported)
{
  constexpr int kInFlight = 192;
  std::vector<State> hosts(2);
  std::vector<Parts> requests;
  for (int request = 0; request < kInFlight; ++request) {
    requests.push_back({ SuspectId::Request(std::to_string(request)) });
    RecordCrash(hosts[0], requests.back(), Server(1), kNow);
  }
  for (int turn = 1; turn <= 4; ++turn) {
    Exchange(hosts[1], hosts, kNow + turn * 200ms);
  }
  for (const auto& request : requests) {
    cr_assert(
      Admit(hosts[1], request, kNow + 1s), "%s", request.front().id.c_str());
  }
}

// Guards against reports of sound requests that no answer ever clears, which
// would fill the messages between hosts.
Test(quarantine, requests_with_one_crash_are_reported_for_a_while)
{
  State state;
  RecordCrash(state, Parts{ SuspectId::Request("a") }, Server(1), kNow);
  RecordCrash(state,
              Parts{ SuspectId::Request("b") },
              Server(1),
              kNow,
              AnswerProgress::Begun);
  cr_assert_eq(MakeReports(state, kNow + 1s).size(), 1U);
  cr_assert_eq(MakeReports(state, kNow + 4s).size(), 0U);
}

Test(quarantine, servers_that_crash_at_once_are_seen)
{
  State state;
  const Parts any{ SuspectId::Request("a") };
  RecordCrash(state, any, Server(1), kNow);
  cr_assert_not(SeveralCrashed(state, kNow));
  RecordCrash(state, any, Server(2), kNow + 50ms);
  cr_assert(SeveralCrashed(state, kNow + 60ms));
  cr_assert_not(SeveralCrashed(state, kNow + 300ms));
}

// Guards against taking a faulty server that resets connections for one of
// several that crash at once.
Test(quarantine, a_reset_is_no_crash_of_its_server)
{
  State state;
  RecordCrash(state, Parts{ SuspectId::Request("a") }, Server(1), kNow);
  RecordCrash(state, Parts{ kFirst }, Server(2), kNow + 10ms);
  cr_assert_not(SeveralCrashed(state, kNow + 20ms));
}
