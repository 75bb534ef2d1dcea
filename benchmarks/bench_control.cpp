#include "balsampoint/change/command/decide.hpp"
#include "balsampoint/consensus/group.hpp"
#include "balsampoint/fanout/tree.hpp"
#include "balsampoint/peer/change_codec.hpp"
#include "balsampoint/peer/consensus_codec.hpp"
#include "balsampoint/peer/control_codec.hpp"
#include "balsampoint/peer/fanout_codec.hpp"
#include "balsampoint/peer/generated/peer_types.h"
#include "balsampoint/peer/thrift_bytes.hpp"

#include "report.hpp"

#include <algorithm>
#include <malloc.h>
#include <tuple>

using namespace balsampoint;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kInForce = "in force everywhere within 6 s";
constexpr std::string_view kBudget = "10 KB a second for control";
/** Header of the Thrift call, its length, and the TCP/IP headers with options.
 */
constexpr std::size_t kCallAndPacketBytes = 16 + 52;
constexpr int kWorkspaces = 1200;
constexpr std::uint64_t kChanges = 10'000;
constexpr double kChangesPerDay = 4600;
constexpr double kSecondsPerDay = 86'400;
constexpr double kMegabyte = 1e6;

struct Size
{
  std::size_t hosts;
  std::size_t zones;
};

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

std::size_t
FrameBytes(ByteView aBody)
{
  peer::generated::Frame frame;
  frame.version = 1;
  frame.cluster = "production";
  frame.sender = "host-1000";
  frame.recipient = "host-1001";
  frame.incarnation = 1'700'000'000'000;
  frame.target = 1;
  frame.body = peer::ToText(aBody);
  frame.mac.assign(32, 'm');
  return peer::ToBytes(frame).size() + kCallAndPacketBytes;
}

/** @brief A configuration of 1,200 workspaces; one differs by the number. */
change::Sections
SectionsOf(std::uint64_t aNumber)
{
  change::Sections sections;
  for (int i = 0; i < kWorkspaces; ++i) {
    sections["workspaces/workspace-" + std::to_string(i)] =
      R"({"keys":[{"id":"key","salt":"00112233445566778899","sha256":")" +
      std::string(64, 'a') + R"("}],"weight":1.0,"priority":1})";
  }
  sections["workspaces/workspace-" + std::to_string(aNumber % kWorkspaces)] +=
    std::to_string(aNumber);
  return sections;
}

fanout::test::Tree
SettledTree(const Size& aSize)
{
  fanout::test::Tree tree{ aSize.hosts, aSize.zones, 3, 1 };
  tree.sizeOf = [](const fanout::Message& aMessage) {
    return FrameBytes(peer::Encode(aMessage));
  };
  tree.Accept(1, SectionsOf(1));
  tree.Run(12s);
  return tree;
}

struct Traffic
{
  double mean{};
  double highest{};
  double messages{};
};

Traffic
Measure(fanout::test::Tree& aTree, const std::function<void()>& aRun)
{
  for (auto& [id, host] : aTree.hosts) {
    host.bytes = 0;
    host.messages = 0;
  }
  const auto start = aTree.clock.Now();
  aRun();
  const auto seconds = Seconds(aTree.clock.Now() - start);
  Traffic traffic;
  for (const auto& [id, host] : aTree.hosts) {
    const auto rate = static_cast<double>(host.bytes) / seconds;
    traffic.mean += rate / static_cast<double>(aTree.hosts.size());
    traffic.highest = std::max(traffic.highest, rate);
    traffic.messages =
      std::max(traffic.messages, static_cast<double>(host.messages) / seconds);
  }
  return traffic;
}

void
AddTraffic(bench::Report& aReport,
           const std::string& aName,
           const Traffic& aTraffic)
{
  aReport.AtMost(aName + ", mean host", aTraffic.mean, "B/s", 10'000, kBudget);
  aReport.AtMost(
    aName + ", busiest host", aTraffic.highest, "B/s", 10'000, kBudget);
  aReport.Add(aName + ", busiest host", aTraffic.messages, "messages/s");
}

void
MeasureFanout(bench::Report& aReport, const Size& aSize)
{
  const auto name = std::to_string(aSize.hosts) + " hosts, " +
                    std::to_string(aSize.zones) + " zones: ";
  auto tree = SettledTree(aSize);
  AddTraffic(aReport, name + "at rest", Measure(tree, [&] { tree.Run(60s); }));
  tree.Accept(2, SectionsOf(2));
  const auto all = [&] { return tree.Everywhere(2); };
  aReport.AtMost(name + "accepted to in force",
                 Seconds(tree.TimeUntil(all, 30s)),
                 "s",
                 6,
                 kInForce);
  std::uint64_t number = 2;
  const auto changes = [&] {
    for (int i = 0; i < 6; ++i) {
      ++number;
      tree.Accept(number, SectionsOf(number));
      tree.Run(std::chrono::milliseconds{
        static_cast<long>(1000 * kSecondsPerDay / kChangesPerDay) });
    }
  };
  AddTraffic(aReport, name + "4,600 changes/day", Measure(tree, changes));
  const ZoneId lost{ "zone-" + std::to_string(aSize.zones - 1) };
  tree.CutZone(lost, true);
  ++number;
  tree.Accept(number, SectionsOf(number));
  const auto rest = [&] { return tree.Everywhere(number, lost); };
  aReport.AtMost(name + "with a zone lost",
                 Seconds(tree.TimeUntil(rest, 30s)),
                 "s",
                 6,
                 kInForce);
}

void
MeasureLog(bench::Report& aReport)
{
  Duration slowest{};
  Duration commit{};
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    consensus::test::Group group{ 5, 0, seed };
    const auto old = group.Elect();
    auto start = group.clock.Now();
    std::ignore = group.Commit(old, "change");
    commit = std::max(commit, group.clock.Now() - start);
    group.Kill(old);
    start = group.clock.Now();
    std::ignore = group.Elect();
    slowest = std::max(slowest, group.clock.Now() - start);
  }
  aReport.AtMost("5 voters: a change is committed, slowest of 100",
                 Seconds(commit),
                 "s",
                 6,
                 kInForce);
  aReport.AtMost("5 voters: leader lost to next leader, slowest of 100",
                 Seconds(slowest),
                 "s",
                 2,
                 "aim of 2 s for recovery");
  consensus::test::Group group{ 5, 0, 1 };
  const auto leader = group.Elect();
  const auto before = group.network.Sent();
  group.Run(60s);
  const auto rate = static_cast<double>(group.network.Sent() - before) / 60;
  const auto size = FrameBytes(peer::Encode(consensus::Message{
    consensus::AppendRequest{ .term = group.hosts.at(leader).state.hard.term,
                              .previousIndex = consensus::Index{ 1'000'000 },
                              .committed = consensus::Index{ 1'000'000 },
                              .round = consensus::Round{ 1'000'000 } } }));
  aReport.AtMost("5 voters at rest: the leader's log",
                 rate * static_cast<double>(size),
                 "B/s",
                 10'000,
                 kBudget);
}

void
MeasureTable(bench::Report& aReport)
{
  change::Table table;
  std::ignore = Decide(table,
                       { .number = ChangeNumber{ 1 },
                         .id = ChangeId{ "first" },
                         .whole = true,
                         .delta = { SectionsOf(1), {} } });
  std::vector<ByteVector> commands;
  for (std::uint64_t i = 2; i <= kChanges; ++i) {
    change::Change change{ .number = ChangeNumber{ i },
                           .id = ChangeId{ "change-" + std::to_string(i) },
                           .author = OperatorId{ "nimal" },
                           .digest = std::string(64, 'd') };
    const auto name = "workspaces/workspace-" + std::to_string(i % kWorkspaces);
    change.delta.upserts[name] = table.sections->at(name) + std::to_string(i);
    commands.push_back(peer::Encode(
      peer::ControlCommand{ peer::TableTag::Change, peer::Encode(change) }));
  }
  const auto held = mallinfo2().uordblks;
  const auto start = std::chrono::steady_clock::now();
  for (const auto& command : commands) {
    const auto decoded = peer::DecodeControlCommand(command);
    std::ignore = Decide(table, *peer::DecodeChange(decoded->body));
  }
  const auto time = std::chrono::steady_clock::now() - start;
  aReport.Add("replay of 10,000 changes", Seconds(time), "s");
  const auto answers =
    static_cast<double>(mallinfo2().uordblks - held) / kMegabyte;
  aReport.Add("10,000 answers kept for resends", answers, "MB");
  const auto before = mallinfo2().uordblks;
  const auto copy = SectionsOf(1);
  const auto document =
    static_cast<double>(mallinfo2().uordblks - before) / kMegabyte;
  aReport.AtMost("one configuration of 1,200 workspaces",
                 document,
                 "MB",
                 128,
                 "128 MB for control");
  aReport.AtMost("configuration and answers",
                 document + answers,
                 "MB",
                 128,
                 "128 MB for control");
  aReport.Add("snapshot of the table",
              static_cast<double>(peer::Encode(table).size()) / kMegabyte,
              "MB");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  bench::Report report{ "control",
                        { aArguments, static_cast<std::size_t>(aCount) } };
  MeasureLog(report);
  for (const auto& size :
       { Size{ 9, 3 }, Size{ 90, 6 }, Size{ 205, 10 }, Size{ 410, 14 } }) {
    MeasureFanout(report, size);
  }
  MeasureTable(report);
  return report.Finish();
}
