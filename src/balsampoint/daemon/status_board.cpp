#include "balsampoint/daemon/status_board.hpp"

#include <algorithm>

namespace balsampoint::daemon {

namespace {

constexpr std::size_t kHistoryWindow = 1000;

std::string
RoleName(const consensus::Status& aStatus)
{
  const auto self = std::ranges::find(
    aStatus.members, aStatus.self, [](const consensus::MemberStatus& aMember) {
      return aMember.member.host;
    });
  if (self == aStatus.members.end()) {
    return "observer";
  }
  if (self->member.role == consensus::MemberRole::Learner) {
    return "learner";
  }
  switch (aStatus.role) {
    case consensus::Role::Leader:
      return "leader";
    case consensus::Role::Follower:
      return "follower";
    case consensus::Role::PreCandidate:
    case consensus::Role::Candidate:
      break;
  }
  return "candidate";
}

} // namespace

void
StatusBoard::Show(const consensus::Status& aStatus)
{
  traffic::ControlStatus control{ .role = RoleName(aStatus),
                                  .leader = aStatus.leader,
                                  .term = aStatus.term.Value(),
                                  .commit = aStatus.committed.Value() };
  for (const auto& member : aStatus.members) {
    const bool voter = member.member.role == consensus::MemberRole::Voter;
    control.members.push_back({ member.member.host,
                                voter ? "voter" : "learner",
                                member.match.Value() });
  }
  mStatus.control = std::move(control);
  Publish();
}

void
StatusBoard::Show(const fanout::InForce& aInForce)
{
  mStatus.hosts.clear();
  for (const auto& host : aInForce.hosts) {
    mStatus.hosts.push_back({ host.report.host,
                              host.report.zone,
                              host.report.incarnation,
                              host.reachable ? "alive" : "out_of_reach",
                              host.report.number });
  }
  Publish();
}

void
StatusBoard::Show(std::span<const change::AcceptedChange> aChanges)
{
  auto& history = mStatus.history;
  for (const auto& change : aChanges) {
    if (!history.empty() && history.back().number >= change.number) {
      continue;
    }
    history.push_back({ change.number, change.id, change.author });
  }
  if (history.size() > kHistoryWindow) {
    const auto surplus = history.size() - kHistoryWindow;
    history.erase(history.begin(),
                  history.begin() + static_cast<std::ptrdiff_t>(surplus));
  }
  Publish();
}

void
StatusBoard::Publish()
{
  mWorld.status.Publish(std::make_shared<const traffic::Status>(mStatus));
}

} // namespace balsampoint::daemon
