#include "balsampoint/daemon/operations.hpp"

#include "balsampoint/runtime/steady_clock.hpp"

#include <algorithm>

namespace balsampoint::daemon {

namespace {

http::ChangeRefusal
RefusalOf(const change::Answer& aAnswer)
{
  const auto next = std::to_string(aAnswer.next.Value());
  switch (aAnswer.outcome) {
    case change::Outcome::IdReused:
      return { MakeError(ErrorKind::KeyReused,
                         "the change id was used for another change"),
               {} };
    case change::Outcome::NumberSkipped:
      return { MakeError(ErrorKind::Conflict, "the next number is " + next),
               {} };
    case change::Outcome::Accepted:
    case change::Outcome::Conflict:
    case change::Outcome::Superseded:
      break;
  }
  http::ChangeRefusal refusal{ MakeError(ErrorKind::Conflict,
                                         "the number belongs to change '" +
                                           aAnswer.winner.String() +
                                           "'; the next number is " + next) };
  if (!aAnswer.winner.Empty()) {
    refusal.winner = aAnswer.winner;
  }
  return refusal;
}

ZoneId
ZoneOf(const traffic::Status& aStatus, const HostId& aHost)
{
  const auto found =
    std::ranges::find(aStatus.hosts, aHost, &traffic::HostStatus::host);
  return found == aStatus.hosts.end() ? ZoneId{} : found->zone;
}

consensus::Event
EventOf(const http::MemberChange& aChange,
        const traffic::Status& aStatus,
        Ticket aTicket)
{
  switch (aChange.kind) {
    case http::MemberChangeKind::Remove:
      return consensus::RemoveMember{ aTicket, aChange.host };
    case http::MemberChangeKind::Replace:
      return consensus::ReplaceMember{ aTicket,
                                       aChange.host,
                                       aChange.replacement,
                                       ZoneOf(aStatus, aChange.replacement) };
    case http::MemberChangeKind::Add:
      break;
  }
  return consensus::AddMember{ aTicket,
                               aChange.host,
                               ZoneOf(aStatus, aChange.host) };
}

} // namespace

tl::expected<http::ChangeAnswer, http::ChangeRefusal>
SubmitChange(Runners& aRunners, const http::ChangeRequest& aRequest)
{
  const auto answer = aRunners.Change().Submit(aRequest);
  if (!answer) {
    return tl::unexpected(http::ChangeRefusal{ answer.error(), {} });
  }
  if (answer->outcome != change::Outcome::Accepted) {
    return tl::unexpected(RefusalOf(*answer));
  }
  http::ChangeAnswer accepted{ .number = answer->number,
                               .change = aRequest.change };
  if (aRequest.wait == Duration{}) {
    return accepted;
  }
  const auto deadline = runtime::SteadyClock::Now() + aRequest.wait;
  const auto hosts = aRunners.Fanout().Await(answer->number, aRequest.wait);
  accepted.everywhere =
    !hosts.empty() && runtime::SteadyClock::Now() < deadline;
  for (const auto& host : hosts) {
    if (host.reachable && host.number >= answer->number) {
      accepted.hosts.push_back({ host.host, host.incarnation, host.number });
      continue;
    }
    accepted.missing.push_back(host.host);
  }
  return accepted;
}

tl::expected<void, Error>
ChangeMembers(Runners& aRunners,
              const traffic::World& aWorld,
              const http::MemberChange& aChange)
{
  const auto known = aWorld.status.Read();
  const auto status = known ? *known : traffic::Status{};
  auto done = aRunners.Consensus().ChangeMembers(
    [&](Ticket aTicket) { return EventOf(aChange, status, aTicket); });
  if (!done && done.error().kind == ErrorKind::ControlUnavailable) {
    done.error().detail += "; leader: '" + status.control.leader.String() + "'";
  }
  return done;
}

tl::expected<std::vector<traffic::HostStatus>, Error>
ReportedHosts(Runners& aRunners)
{
  std::vector<traffic::HostStatus> hosts;
  for (const auto& host : aRunners.Fanout().Await(ChangeNumber{}, {})) {
    hosts.push_back({ .host = host.host,
                      .zone = host.zone,
                      .incarnation = host.incarnation,
                      .state = host.reachable ? "alive" : "out_of_reach",
                      .inForce = host.number });
  }
  if (hosts.empty()) {
    return Refuse(ErrorKind::ControlUnavailable,
                  "no leader of the control group answers");
  }
  return hosts;
}

} // namespace balsampoint::daemon
