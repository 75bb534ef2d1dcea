#include "balsampoint/ledger/command/apply.hpp"
#include "balsampoint/peer/ledger_codec.hpp"
#include "fake/ledger_world.hpp"
#include "fake/random.hpp"
#include "report.hpp"
#include "timing.hpp"

#include <algorithm>
#include <cmath>

namespace {

using namespace balsampoint;
using namespace std::chrono_literals;

constexpr std::size_t kRuns = 100'000;
constexpr unsigned kEventsPerRun = 40;

/** @brief Every third delivery to the control group goes wrong. */
fake::Delivery
DrawDelivery(fake::Random& aRandom)
{
  const auto drawn = aRandom.Next() % 9;
  return drawn < 4 ? static_cast<fake::Delivery>(drawn)
                   : fake::Delivery::Answered;
}

/** @brief Half of the calls that are sent go wrong. */
fake::ServerFate
DrawFate(fake::Random& aRandom)
{
  const auto drawn = aRandom.Next() % 8;
  return drawn < 5 ? static_cast<fake::ServerFate>(drawn)
                   : fake::ServerFate::Answers;
}

/** @brief One random event of a faulty run. */
void
Disturb(fake::LedgerWorld& aWorld, fake::Random& aRandom)
{
  const auto choice = static_cast<unsigned>(aRandom.Next() % 8);
  const auto drawn = aRandom.Next() % 16;
  if (drawn < 3) {
    aWorld.Submit(choice, choice % 2, aRandom.Next() % 8 == 0 ? 1 : 0);
  } else if (drawn < 8) {
    aWorld.Decide(choice, DrawDelivery(aRandom));
  } else if (drawn < 12) {
    aWorld.EndDispatch(choice, DrawFate(aRandom));
  } else if (drawn == 12) {
    aWorld.TimeOutProposal(choice);
  } else if (drawn == 13) {
    aWorld.RunLate(choice);
  } else if (drawn == 14) {
    aWorld.PassTime(choice, std::chrono::seconds{ aRandom.Next() % 600 });
  } else {
    aWorld.Crash(choice);
  }
}

void
FaultyRuns(bench::Report& aReport)
{
  ledger::Bounds bounds;
  bounds.retention = 1h;
  std::size_t violations = 0;
  std::size_t requests = 0;
  std::size_t runs = 0;
  std::size_t answered = 0;
  fake::Random random{ 20261204 };
  for (std::size_t run = 0; run < kRuns; ++run) {
    fake::LedgerWorld world{ 3, bounds };
    for (unsigned event = 0; event < kEventsPerRun; ++event) {
      Disturb(world, random);
    }
    world.Settle();
    violations += world.Violations().size();
    requests += world.Requests().size();
    runs += world.Runs();
    for (const auto& request : world.Requests()) {
      answered += request.reply && request.reply->has_value() ? 1 : 0;
    }
  }
  aReport.AtMost("doubled, lost or wrongly answered calls",
                 static_cast<double>(violations),
                 "calls",
                 0,
                 "at-most-once: none in 100,000 faulty runs");
  aReport.Add("faulty runs", kRuns, "runs");
  aReport.Add("requests in them", static_cast<double>(requests), "requests");
  aReport.Add("runs of work", static_cast<double>(runs), "runs");
  aReport.Add("requests with an answer", static_cast<double>(answered), "");
}

/** @brief Costs of one placement of the table, as stated in its design page. */
struct Placement
{
  std::string_view name;
  /** From the entry host to where the claim is decided, one way, mean. */
  Duration toDecider;
  /** From the decider to its quorum, one way. */
  Duration toQuorum;
  /** Groups that decide side by side. */
  std::uint32_t groups{ 1 };
};

constexpr Duration kSync = 2ms;
constexpr std::uint64_t kSyncBytes = 256ULL << 10U;

/** @brief Time that one durable command takes at a rate, by batches. */
Duration
MeanDecision(const Placement& aPlacement, double aPerSecond, double aBytes)
{
  const double rate = aPerSecond / aPlacement.groups;
  const auto round = kSync + (2 * aPlacement.toQuorum);
  const auto perBatch = static_cast<std::uint64_t>(kSyncBytes / aBytes);
  const auto gap = Duration{ static_cast<Duration::rep>(1e9 / rate) };
  constexpr int kCommands = 200'000;
  Instant free{};
  Duration total{};
  int next = 0;
  while (next < kCommands) {
    const Instant first{ gap * next };
    const auto start = std::max(free, first);
    const auto arrived = ((start - Instant{}) / gap) + 1;
    const auto last = std::min<std::int64_t>(
      { arrived, next + static_cast<std::int64_t>(perBatch), kCommands });
    free = start + round;
    for (; next < last; ++next) {
      total += free - Instant{ gap * next };
    }
  }
  return (total / kCommands) + (2 * aPlacement.toDecider);
}

double
MaxClaims(const Placement& aPlacement, double aBytes)
{
  const std::chrono::duration<double> round = kSync + (2 * aPlacement.toQuorum);
  // Each call writes a claim and a record.
  return aPlacement.groups * kSyncBytes / aBytes / round.count() / 2;
}

ledger::Claim
ClaimOf(std::uint64_t aNumber)
{
  return { .key = { .workspace =
                      WorkspaceId{ "ws" + std::to_string(aNumber % 1200) },
                    .service = ServiceId{ "order-desk" },
                    .value = "order-0123456789-" + std::to_string(aNumber) },
           .digest = {},
           .id = { HostId{ "colombo-a-1" }, Incarnation{ 1 }, aNumber } };
}

void
Placements(bench::Report& aReport)
{
  const auto bytes =
    static_cast<double>(peer::Encode(ledger::Command{ ClaimOf(1) }).size());
  aReport.Add("claim as encoded", bytes, "bytes");
  // Two of three calls enter in another zone than the leader's.
  constexpr std::array kPlacements{
    Placement{ "control group", 333us, 500us, 1 },
    Placement{ "home zone", 100us, 0us, 3 },
    Placement{ "7 shards", 333us, 500us, 7 },
  };
  for (const auto& placement : kPlacements) {
    const std::string name{ placement.name };
    for (const double rate : { 50.0, 2500.0 }) {
      const std::chrono::duration<double, std::milli> added =
        2 * MeanDecision(placement, rate * 2, bytes);
      aReport.Add(name + " (model): added time at " +
                    std::to_string(static_cast<int>(rate)) + " calls/s",
                  added.count(),
                  "ms");
    }
    aReport.Add(name + " (model): keyed calls/s at most",
                MaxClaims(placement, bytes),
                "1/s");
  }
  aReport.AtLeast("control group (model): room for the target's peak",
                  MaxClaims(kPlacements[0], bytes),
                  "1/s",
                  2500,
                  "2,500 requests/s at the peak, even if all had a key");
}

void
Processor(bench::Report& aReport)
{
  constexpr std::uint64_t kKeys = 100'000;
  ledger::Bounds bounds;
  bounds.maxWorkspaceEntries = kKeys;
  ledger::Table table;
  const auto seconds = bench::MedianSeconds(3, [&] {
    table = {};
    table.bounds = bounds;
    for (std::uint64_t at = 0; at < kKeys; ++at) {
      const auto claim = ClaimOf(at);
      ledger::Apply(table, claim);
      ledger::Apply(table,
                    ledger::Record{ .key = claim.key,
                                    .id = claim.id,
                                    .answer = { .status = 200 } });
    }
  });
  aReport.AtLeast("claims and records applied by one core",
                  2 * kKeys / seconds,
                  "1/s",
                  5000 / 0.03,
                  "5,000 commands/s within 3 % of a core");
  ByteVector snapshot;
  const auto encode =
    bench::MedianSeconds(3, [&] { snapshot = peer::Encode(table); });
  aReport.Add("snapshot of 100,000 keys", encode * 1000, "ms");
  aReport.Add(
    "snapshot of 100,000 keys, size", snapshot.size() / 1048576.0, "MiB");
  aReport.AtMost("memory counted for 100,000 keys",
                 table.total.bytes / 1048576.0,
                 "MiB",
                 64,
                 "half of the 128 MB that control may use on a host");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  bench::Report report{ "ledger",
                        { aArguments, static_cast<std::size_t>(aCount) } };
  FaultyRuns(report);
  Placements(report);
  Processor(report);
  return report.Finish();
}
