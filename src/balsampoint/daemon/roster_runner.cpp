#include "balsampoint/daemon/roster_runner.hpp"

#include "balsampoint/daemon/post.hpp"
#include "balsampoint/peer/roster_codec.hpp"
#include "balsampoint/trace/event.hpp"

#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace balsampoint::daemon {

namespace {

std::string_view
StateOf(const roster::Server& aServer)
{
  if (aServer.suspected) {
    return "doubted";
  }
  switch (aServer.claim.presence) {
    case roster::Presence::Ready:
      return "ready";
    case roster::Presence::Leaving:
      return "leaving";
    case roster::Presence::Silent:
      return "silent";
    case roster::Presence::Gone:
      break;
  }
  return "gone";
}

using States = std::map<ServerId, std::string_view>;

States
StatesOf(const roster::View* aView)
{
  States states;
  if (aView != nullptr) {
    for (const auto& server : aView->servers) {
      states[server.claim.server] = StateOf(server);
    }
  }
  return states;
}

void
LogState(const ServerId& aServer, std::string_view aFrom, std::string_view aTo)
{
  trace::Event{ "server_state" }
    .With("server", aServer)
    .With("from", aFrom)
    .With("to", aTo);
}

/** @brief Logs which servers this host sees in another way than before. */
void
LogChanges(const roster::View* aBefore, const roster::View& aNow)
{
  auto before = StatesOf(aBefore);
  for (const auto& [server, state] : StatesOf(&aNow)) {
    const auto known = before.extract(server);
    const auto from = known ? known.mapped() : std::string_view{ "unknown" };
    if (from != state) {
      LogState(server, from, state);
    }
  }
  for (const auto& [server, state] : before) {
    LogState(server, state, "gone");
  }
}

/** @brief Logs the answer to a server that leaves. */
RosterRunner::Answer
WithLog(ServerId aServer, RosterRunner::Answer aAnswered)
{
  return [server = std::move(aServer),
          answered = std::move(aAnswered)](tl::expected<void, Error> aResult) {
    trace::Event{ "departure_answered" }
      .With("server", server)
      .With("result", aResult ? "kept" : AnswerFor(aResult.error().kind).name);
    answered(std::move(aResult));
  };
}

} // namespace

void
RosterRunner::RecordHeartbeat(roster::Claim aClaim, Answer aAnswered)
{
  const bool leaves = aClaim.presence == roster::Presence::Leaving;
  const auto ticket =
    mAnswers.Open(leaves ? WithLog(aClaim.server, std::move(aAnswered))
                         : std::move(aAnswered));
  Push(ticket,
       roster::Heartbeat{ .claim = std::move(aClaim),
                          .ticket = leaves ? ticket : Ticket{} });
  if (!leaves) {
    mAnswers.Complete(ticket, {});
  }
}

void
RosterRunner::RecordSignOff(roster::SignedOff aSignedOff, Answer aAnswered)
{
  aSignedOff.ticket =
    mAnswers.Open(WithLog(aSignedOff.server, std::move(aAnswered)));
  const auto ticket = aSignedOff.ticket;
  Push(ticket, std::move(aSignedOff));
}

void
RosterRunner::Push(Ticket aTicket, roster::Event aEvent)
{
  if (!mMailbox.Push(std::move(aEvent))) {
    mAnswers.Complete(
      aTicket, Refuse(ErrorKind::Overloaded, "the control queue is full"));
  }
}

void
RosterRunner::Run(const roster::Action& aAction)
{
  std::visit([this](const auto& aOne) { Do(aOne); }, aAction);
}

void
RosterRunner::Do(const roster::Publish& aPublish)
{
  const auto before = mLatest.Read();
  LogChanges(before.get(), *aPublish.view);
  const auto& topology = aPublish.view->topology;
  if (!before || before->topology != topology) {
    trace::Event{ "relay_changed" }
      .With("collector", topology.collector)
      .With("peers", topology.peers.size())
      .With("upstream", topology.upstream);
  }
  mLatest.Publish(aPublish.view);
  PostOrDrop(mMailbox,
             placement::Event{ placement::ServersChanged{ aPublish.view } });
  if (mPublish) {
    mPublish(aPublish.view);
  }
}

void
RosterRunner::Do(const roster::SetHostAddress& aSetHostAddress)
{
  mSender.Route(aSetHostAddress.host, aSetHostAddress.address);
}

void
RosterRunner::Do(const roster::Send& aSend)
{
  mSender.Send(aSend.to, peer::ModuleTag::Roster, peer::Encode(aSend.message));
}

void
RosterRunner::Do(const roster::ConfigurationAdvertised& aAdvertised)
{
  PostOrDrop(mMailbox,
             fanout::Event{ fanout::NumberAdvertised{
               aAdvertised.host, aAdvertised.number, aAdvertised.sameZone } });
}

void
RosterRunner::Do(const roster::ControlHostsChanged& aChanged)
{
  consensus::StandbyHostsUpdated known;
  fanout::ControlHostsChanged changed;
  std::string names;
  for (const auto& control : aChanged.hosts) {
    known.standbyHosts.insert({ control.host, control.zone });
    changed.hosts.push_back(control.host);
    names += names.empty() ? "" : ",";
    names += control.host.Value();
  }
  trace::Event{ "control_hosts_reachable" }.With("hosts", names);
  Post(mMailbox, consensus::Event{ std::move(known) });
  Post(mMailbox, fanout::Event{ std::move(changed) });
}

void
RosterRunner::Do(const roster::RoleChanged& aChanged)
{
  trace::Event{ "roster_role_changed" }
    .With("role", aChanged.role == roster::Role::Relay ? "relay" : "entry")
    .With("by", aChanged.by);
}

void
RosterRunner::Do(const roster::DepartureAnswered& aAnswered)
{
  if (aAnswered.kept) {
    mAnswers.Complete(aAnswered.ticket, {});
    return;
  }
  mAnswers.Complete(aAnswered.ticket,
                    Refuse(ErrorKind::ControlUnavailable,
                           "the departure is not known to enough control "
                           "hosts, or the server is unknown"));
}

} // namespace balsampoint::daemon
