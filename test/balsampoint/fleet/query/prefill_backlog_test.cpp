#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/fleet/command/set_remote_usage.hpp"
#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/fixture.hpp"
#include "balsampoint/fleet/query/choose_chain.hpp"
#include "balsampoint/fleet/query/make_local_usage.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <queue>

using namespace balsampoint;
using namespace balsampoint::fleet;
using namespace balsampoint::test;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 1h };
constexpr std::uint32_t kLayers = 8;
constexpr double kShort = 200.0;
constexpr double kLong = 2300.0;

const ServiceId kService{ "verse" };

Demand
PromptOf(double aTokens)
{
  return { .service = kService, .promptTokens = aTokens, .answerTokens = 40.0 };
}

ServerId
Receiver(const State& aState, double aTokens)
{
  return ChooseChain(aState, PromptOf(aTokens), kNow)->hops.front().server;
}

State
ThreeAlike()
{
  return MakeFleet({ MakeEngine("a1", "a", { 0, kLayers }),
                     MakeEngine("a2", "a", { 0, kLayers }),
                     MakeEngine("a3", "a", { 0, kLayers }) });
}

Server&
ServerOf(State& aState, const std::string& aName)
{
  return aState.groups.at(kService).servers.at(ServerId{ aName });
}

/** @brief Times to the first event by length of the prompt, in ms. */
struct FirstEvents
{
  std::vector<double> ofShort;
  std::vector<double> ofLong;
};

double
Percentile(std::vector<double> aTimes, double aPart)
{
  std::ranges::sort(aTimes);
  return aTimes[static_cast<std::size_t>(
    aPart * static_cast<double>(aTimes.size() - 1))];
}

/**
 * @brief Engines that read one prompt after another, used by one host: every
 * eighth prompt is long, the others are short.
 */
class Pattern
{
public:
  explicit Pattern(bool aCountPrompts)
    : mCountPrompts{ aCountPrompts }
  {
    auto& group = mState.groups.at(kService);
    group.engine->readTokensPerSecond = kReadRate;
    // Only the time to read limits what the engines take.
    for (auto& [id, server] : group.servers) {
      server.kvCapacity = 1e9;
      server.claim.description.slots = 1000;
    }
  }

  FirstEvents Run()
  {
    SplitMix64 random{ 3 };
    double now = 0.0;
    for (int request = 0; request < 4000; ++request) {
      now += 2 * kMeanGapMs * random.NextUnit();
      FinishUntil(now);
      Start(now, random.NextUnit() < kLongPart, random.Next());
    }
    return std::move(mTimes);
  }

private:
  static constexpr double kReadRate = 5000.0;
  static constexpr double kLongPart = 0.12;
  // 452 tokens on average take 90 ms on one of three engines: 60 % of their
  // speed.
  static constexpr double kMeanGapMs = 50.0;

  struct Reading
  {
    double end{};
    std::vector<Hop> hops;
    Reservation reserved;

    bool operator<(const Reading& aOther) const { return end > aOther.end; }
  };

  static Instant At(double aMs)
  {
    return kNow + std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double, std::milli>{ aMs });
  }

  /** The host learns of first events; the answers are short and end with
   * them. */
  void FinishUntil(double aNow)
  {
    while (!mReading.empty() && mReading.top().end <= aNow) {
      auto first = mReading.top();
      mReading.pop();
      RecordEvent(
        mState, kService, first.hops, first.reserved, {}, At(first.end));
      Release(mState, kService, first.hops, first.reserved);
    }
  }

  void Start(double aNow, bool aLong, std::uint64_t aSample)
  {
    auto demand = PromptOf(aLong ? kLong : kShort);
    demand.randomSample = aSample;
    const auto chain = ChooseChain(mState, demand, At(aNow));
    cr_assert(chain.has_value());
    const Reservation reserved{ .tokens = chain->tokens,
                                .promptTokens =
                                  mCountPrompts ? chain->promptTokens : 0.0 };
    Reserve(mState, kService, chain->hops, reserved);
    auto& free = mFreeAt[chain->hops.front().server];
    free = std::max(free, aNow) + demand.promptTokens / kReadRate * 1000.0;
    (aLong ? mTimes.ofLong : mTimes.ofShort).push_back(free - aNow);
    mReading.push({ free, chain->hops, reserved });
  }

  bool mCountPrompts;
  State mState{ ThreeAlike() };
  std::map<ServerId, double> mFreeAt;
  std::priority_queue<Reading> mReading;
  FirstEvents mTimes;
};

} // namespace

// Guards against long prompts that hold up short ones on engines beside idle
// ones: the choice has to know which engines still read.
Test(prefill_backlog, short_prompts_avoid_engines_that_read_long_ones)
{
  const auto before = Pattern{ false }.Run();
  const auto after = Pattern{ true }.Run();
  const auto line = [](const char* aName, const FirstEvents& aTimes) {
    cr_log_info("%s: short p50 %.0f p99 %.0f, long p50 %.0f p99 %.0f ms",
                aName,
                Percentile(aTimes.ofShort, 0.5),
                Percentile(aTimes.ofShort, 0.99),
                Percentile(aTimes.ofLong, 0.5),
                Percentile(aTimes.ofLong, 0.99));
  };
  line("without backlog", before);
  line("with backlog", after);
  constexpr double kTargetMs = 500.0;
  cr_assert_gt(Percentile(before.ofShort, 0.99), kTargetMs);
  cr_assert_leq(Percentile(after.ofShort, 0.99), kTargetMs);
  cr_assert_leq(Percentile(after.ofLong, 0.99),
                Percentile(before.ofLong, 0.99));
}

// Guards against prompts of other hosts that the choice doesn't see.
Test(prefill_backlog, counts_the_prompts_of_other_hosts)
{
  auto state = ThreeAlike();
  SetRemoteUsage(
    state,
    { .servers = { { .server = ServerId{ "a1" }, .waitingPrompt = 30000.0 },
                   { .server = ServerId{ "a2" }, .waitingPrompt = 20000.0 } } },
    kNow);
  cr_assert_eq(Receiver(state, kShort), ServerId{ "a3" });
  SetRemoteUsage(state, {}, kNow);
  cr_assert_eq(ServerOf(state, "a1").WaitingPrompt(), 0.0);
}

// Guards against a prompt that counts after its first event or its end, or
// twice: such an engine would never be chosen again.
Test(prefill_backlog, a_prompt_counts_until_its_first_event_or_its_end)
{
  auto state = ThreeAlike();
  const auto chain = ChooseChain(state, PromptOf(kLong), kNow);
  const auto& server = ServerOf(state, "a1");
  Reservation reserved{ chain->tokens, chain->promptTokens };
  Reserve(state, kService, chain->hops, reserved);
  cr_assert_eq(server.localWork.waitingPrompt, kLong * kLayers);
  cr_assert_eq(MakeLocalUsage(state, kNow).servers.front().waitingPrompt,
               kLong * kLayers);
  RecordEvent(state, kService, chain->hops, reserved, {}, kNow);
  cr_assert_eq(server.localWork.waitingPrompt, 0.0);
  Reservation other{ chain->tokens, chain->promptTokens };
  Reserve(state, kService, chain->hops, other);
  RecordEvent(state, kService, chain->hops, reserved, 50ms, kNow);
  Release(state, kService, chain->hops, reserved);
  cr_assert_eq(server.localWork.waitingPrompt, kLong * kLayers);
  Release(state, kService, chain->hops, other);
  cr_assert_eq(server.localWork.waitingPrompt, 0.0);
  cr_assert_eq(server.localWork.kv, 0.0);
}

// Guards against a predicted first event that leaves out the wait, by which a
// request would be admitted that misses its target; the time of later events
// has no part of the wait.
Test(prefill_backlog, delays_the_predicted_first_event_only)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, kLayers }) });
  const auto idle = ChooseChain(state, PromptOf(kShort), kNow);
  ServerOf(state, "a1").localWork.waitingPrompt = 20000.0 * kLayers;
  const auto busy = ChooseChain(state, PromptOf(kShort), kNow);
  // 20,000 tokens at 100,000 tokens per second, and 40 steps of 1 ms.
  cr_assert_float_eq(busy->firstEventMs, idle->firstEventMs + 239.0, 1.0);
  cr_assert_float_eq(busy->eventMs, idle->eventMs, 1e-9);
}

// Guards against long prompts that go where many short ones wait, because a
// fast engine reads them soonest.
Test(prefill_backlog, a_long_prompt_goes_where_it_delays_the_fewest)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, kLayers }),
                           MakeEngine("a2", "a", { 0, kLayers }) });
  ServerOf(state, "a2").remoteWork.passing = 5;
  cr_assert_eq(Receiver(state, kLong), ServerId{ "a1" });
  cr_assert_eq(Receiver(state, kShort), ServerId{ "a1" });
  ServerOf(state, "a1").localWork.waitingPrompt = 500.0 * kLayers;
  cr_assert_eq(Receiver(state, kLong), ServerId{ "a2" });
  cr_assert_eq(Receiver(state, kShort), ServerId{ "a1" });
}
