#include "balsampoint/peer/ledger_codec.hpp"

#include "balsampoint/ledger/command/apply.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::ledger;
using namespace balsampoint::peer;

namespace {

const Claim kClaim{
  .key = { WorkspaceId{ "desk" }, ServiceId{ "orders" }, "k" },
  .digest = { std::byte{ 1 }, std::byte{ 0 } },
  .id = { HostId{ "a" }, Incarnation{ 7 }, 9 }
};

const StoredAnswer kAnswer{ .status = 201,
                            .headers = { { "Content-Type", "text/plain" } },
                            .body = std::string{ "a\0b", 3 },
                            .complete = true };

template<typename T>
T
Again(const Outcome& aOutcome)
{
  const auto decoded = DecodeLedgerMessage(Encode(Message{
    ForwardReply{ .id = { Incarnation{ 1 }, 2 }, .outcome = aOutcome } }));
  return std::get<T>(std::get<ForwardReply>(*decoded).outcome);
}

} // namespace

Test(ledger_codec, commands_survive_the_round_trip)
{
  const std::array<Command, 4> commands{
    kClaim,
    Record{ .key = kClaim.key, .id = kClaim.id, .answer = kAnswer },
    Release{ .key = kClaim.key, .id = kClaim.id },
    TimeStep{ .from = Duration{ 5 }, .by = Duration{ 6 } }
  };
  for (const auto& command : commands) {
    cr_assert(*DecodeLedgerCommand(Encode(command)) == command);
    const ForwardRequest ask{ .id = { Incarnation{ 3 }, 4 },
                              .command = command };
    cr_assert(std::get<ForwardRequest>(
                *DecodeLedgerMessage(Encode(Message{ ask }))) == ask);
  }
}

Test(ledger_codec, outcomes_survive_the_round_trip)
{
  Again<Granted>(Granted{});
  Again<Done>(Done{});
  cr_assert(Again<Repeated>(Repeated{ kAnswer }).answer == kAnswer);
  cr_assert(Again<InDoubt>(InDoubt{ kClaim.id }).holder == kClaim.id);
  const auto error = Again<Error>(MakeError(ErrorKind::LedgerFull, "full"));
  cr_assert_eq(error.kind, ErrorKind::LedgerFull);
  cr_assert_eq(error.executed, Executed::No);
}

Test(ledger_codec, table_survives_the_round_trip_with_its_counts)
{
  Table table;
  Apply(table, kClaim);
  Apply(table, TimeStep{ .from = Duration{}, .by = Duration{ 5 } });
  Apply(table, Record{ .key = kClaim.key, .id = kClaim.id, .answer = kAnswer });
  auto other = kClaim;
  other.key.value = "other";
  Apply(table, other);
  const auto decoded = DecodeLedgerTable(Encode(table), table.bounds);
  cr_assert(decoded->entries == table.entries);
  cr_assert(decoded->expiries == table.expiries);
  cr_assert(decoded->workspaces == table.workspaces);
  cr_assert(decoded->total == table.total);
  cr_assert(decoded->time == table.time);
}

Test(ledger_codec, damaged_bytes_are_refused)
{
  auto bytes = Encode(Command{ kClaim });
  bytes.resize(bytes.size() / 2);
  cr_assert_eq(DecodeLedgerCommand(bytes).error().kind, ErrorKind::BadRequest);
  cr_assert_not(DecodeLedgerMessage({}).has_value());
}
