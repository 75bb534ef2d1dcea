#include "balsampoint/consensus/query/status.hpp"

namespace balsampoint::consensus {

Status
Describe(const State& aState, Instant aNow)
{
  Status status{ .self = aState.settings.self,
                 .leader = aState.leader,
                 .role = aState.role,
                 .term = aState.hard.term,
                 .committed = aState.committed,
                 .applied = aState.applied,
                 .snapshot = aState.snapshot.index,
                 .storageFailed = aState.storageFailed,
                 .recovering = aState.hard.recovering };
  for (const auto& member : aState.members.members) {
    MemberStatus entry{ .member = member };
    const auto found = aState.progress.find(member.host);
    if (found != aState.progress.end()) {
      entry.match = found->second.match;
      entry.sinceContact = aNow - found->second.lastContactAt;
    }
    if (member.host == aState.settings.self) {
      entry.match = aState.durableIndex;
    }
    status.members.push_back(std::move(entry));
  }
  return status;
}

} // namespace balsampoint::consensus
