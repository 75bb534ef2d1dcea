#include "balsampoint/peer/consensus_codec.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::consensus;
using namespace std::chrono_literals;

namespace {

const Membership kMembers{
  { { HostId{ "a" }, ZoneId{ "z" }, MemberRole::Voter, {} },
    { HostId{ "b" }, ZoneId{ "y" }, MemberRole::Learner, HostId{ "a" } } }
};

const Entry kEntry{ Index{ 8 },
                    Term{ 2 },
                    EntryKind::Members,
                    { std::byte{ 0 }, std::byte{ 255 } },
                    kMembers };

} // namespace

Test(consensus_codec, every_message_comes_back)
{
  const std::vector<Message> messages{
    VoteRequest{ Term{ 1 }, Index{ 2 }, Term{ 3 }, true, false, true },
    VoteReply{ Term{ 1 }, true, false },
    AppendRequest{ Term{ 1 },
                   Index{ 7 },
                   Term{ 2 },
                   { kEntry },
                   Index{ 3 },
                   Round{ 4 },
                   { { HostId{ "a" }, std::chrono::milliseconds{ 5 } } } },
    AppendReply{ Term{ 1 }, true, Index{ 2 }, Round{ 3 }, true },
    SnapshotRequest{ Term{ 1 },
                     Index{ 2 },
                     Term{ 3 },
                     kMembers,
                     4,
                     5,
                     { std::byte{ 1 } },
                     Round{ 6 } },
    SnapshotReply{ Term{ 1 }, Index{ 2 }, 3, Round{ 4 } },
    HandOverRequest{ Term{ 9 } },
  };
  for (const auto& message : messages) {
    const auto bytes = peer::Encode(message);
    cr_assert(*peer::DecodeConsensusMessage(bytes) == message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      const auto part = ByteView{ bytes }.first(size);
      cr_assert_not(peer::DecodeConsensusMessage(part).has_value());
    }
  }
}

Test(consensus_codec, bounds_the_silence_of_a_member)
{
  for (const Duration told : { -Duration{ 1h }, Duration{ 100000h } }) {
    const AppendRequest request{ .silences = { { HostId{ "a" }, told } } };
    const auto decoded =
      *peer::DecodeConsensusMessage(peer::Encode(Message{ request }));
    const auto silence = std::get<AppendRequest>(decoded).silences.at(0);
    cr_assert(silence.duration >= Duration{} && silence.duration <= 24h);
  }
}

Test(consensus_codec, refuses_entries_out_of_order)
{
  const AppendRequest request{ .previousIndex = Index{ 3 },
                               .entries = { kEntry } };
  const auto bytes = peer::Encode(Message{ request });
  cr_assert_not(peer::DecodeConsensusMessage(bytes).has_value());
}

Test(consensus_codec, records_come_back)
{
  cr_assert(*peer::DecodeEntry(peer::Encode(kEntry)) == kEntry);
  const Snapshot snapshot{
    Index{ 1 }, Term{ 2 }, kMembers, { std::byte{ 3 } }
  };
  cr_assert(*peer::DecodeSnapshot(peer::Encode(snapshot)) == snapshot);
  const HardState hard{ Term{ 4 }, HostId{ "b" }, true };
  cr_assert(*peer::DecodeHardState(peer::Encode(hard)) == hard);
}
