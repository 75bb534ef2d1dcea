#include "balsampoint/change/command/decide.hpp"
#include "balsampoint/peer/change_codec.hpp"
#include "balsampoint/peer/control_codec.hpp"
#include "balsampoint/peer/fanout_codec.hpp"

#include <criterion/criterion.h>
#include <tuple>

using namespace balsampoint;

namespace {

const change::Change kChange{ ChangeNumber{ 1 },
                              ChangeId{ "id" },
                              OperatorId{ "nimal" },
                              "digest",
                              true,
                              { { { "a", "1" } }, { "b" } } };

const fanout::HostReport kReport{
  HostId{ "h" }, Incarnation{ 3 }, ZoneId{ "z" }, "10.0.0.1:1", true,
  false,         ChangeNumber{ 9 }
};

} // namespace

Test(control_codec, messages_about_changes_come_back)
{
  const change::Answer answer{ change::Outcome::Conflict,
                               ChangeNumber{ 1 },
                               ChangeId{ "w" },
                               ChangeNumber{ 2 } };
  const std::vector<change::Message> messages{
    change::Submission{ Ticket{ 1 }, AttemptNumber{ 2 }, kChange },
    change::SubmissionReply{
      Ticket{ 1 }, AttemptNumber{ 2 }, ChangeId{ "id" }, answer, {} },
    change::SubmissionReply{ Ticket{ 1 },
                             AttemptNumber{ 2 },
                             ChangeId{ "id" },
                             std::nullopt,
                             HostId{ "l" } },
  };
  for (const auto& message : messages) {
    cr_assert(*peer::DecodeChangeMessage(peer::Encode(message)) == message);
  }
}

Test(control_codec, messages_of_the_fan_out_come_back)
{
  const std::vector<fanout::Message> messages{
    fanout::JoinRequest{ kReport },
    fanout::JoinReply{ ChangeNumber{ 1 }, HostId{ "p" }, "10.0.0.1:1", true },
    fanout::Report{ { kReport, kReport } },
    fanout::Fetch{ ChangeNumber{ 4 } },
    fanout::Update{ ChangeNumber{ 1 },
                    ChangeNumber{ 2 },
                    true,
                    kChange.delta,
                    HostId{ "l" },
                    Duration{ 77 } },
    fanout::InForceRequest{ Ticket{ 1 }, ChangeNumber{ 2 }, Duration{ 3 } },
    fanout::InForceReply{ Ticket{ 1 }, { kReport } },
  };
  for (const auto& message : messages) {
    cr_assert(*peer::DecodeFanoutMessage(peer::Encode(message)) == message);
  }
}

Test(control_codec, a_table_comes_back_with_its_window)
{
  change::Table table;
  std::ignore = Decide(table, kChange);
  auto other = kChange;
  other.id = ChangeId{ "other" };
  const auto lost = Decide(table, other);
  auto restored = *peer::DecodeChangeTable(peer::Encode(table));
  cr_assert(*restored.sections == *table.sections);
  cr_assert(restored.winners == table.winners);
  cr_assert(restored.decided == table.decided);
  cr_assert(restored.order == table.order);
  cr_assert(Decide(restored, other) == lost);
}

Test(control_codec, commands_and_snapshots_come_back)
{
  const peer::ControlCommand command{ peer::TableTag::Change,
                                      peer::Encode(kChange) };
  const auto decoded = peer::DecodeControlCommand(peer::Encode(command));
  cr_assert(*decoded == command);
  cr_assert(*peer::DecodeChange(decoded->body) == kChange);
  const peer::ControlSnapshot snapshot{ { peer::TableTag::Ledger,
                                          { std::byte{ 1 } } } };
  cr_assert(*peer::DecodeControlSnapshot(peer::Encode(snapshot)) == snapshot);
}
