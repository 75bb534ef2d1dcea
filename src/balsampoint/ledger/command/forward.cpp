#include "balsampoint/ledger/command/forward.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::ledger {

namespace {

using Actions = std::vector<Action>;

Instant
DueAt(const PendingCommand& aCommand)
{
  return std::min(aCommand.until, aCommand.resendAt);
}

const HostId*
ClaimantOf(const Command& aCommand)
{
  if (const auto* claim = std::get_if<Claim>(&aCommand)) {
    return &claim->id.host;
  }
  if (const auto* record = std::get_if<Record>(&aCommand)) {
    return &record->id.host;
  }
  if (const auto* release = std::get_if<Release>(&aCommand)) {
    return &release->id.host;
  }
  return nullptr;
}

void
Propose(State& aState,
        Origin aOrigin,
        const Command& aCommand,
        Actions& aActions)
{
  aState.lastTicket = aState.lastTicket.Next();
  aState.origins.emplace(aState.lastTicket, std::move(aOrigin));
  aActions.emplace_back(
    Replicate{ .ticket = aState.lastTicket, .command = aCommand });
}

HostId
PickTarget(State& aState)
{
  if (!aState.leader.Empty() || aState.settings.members.empty()) {
    return aState.leader;
  }
  const auto at = aState.nextMember++ % aState.settings.members.size();
  return aState.settings.members[at];
}

void
SendCommand(State& aState,
            std::uint64_t aNumber,
            PendingCommand& aCommand,
            Instant aNow,
            Actions& aActions)
{
  const auto target = PickTarget(aState);
  const bool local = target == aState.settings.self;
  aCommand.resendAfter =
    std::max(aState.settings.resendAfter, aCommand.resendAfter * 2);
  aCommand.resendAt = local ? aCommand.until : aNow + aCommand.resendAfter;
  aState.timers.emplace(DueAt(aCommand), aNumber);
  if (target.Empty()) {
    return;
  }
  const ForwardId id{ .incarnation = aState.settings.incarnation,
                      .number = aNumber };
  if (!local) {
    aCommand.sent = true;
    aActions.emplace_back(Send{
      .to = target,
      .message = ForwardRequest{ .id = id, .command = aCommand.command } });
  } else if (aState.leader == target) {
    aCommand.sent = true;
    Propose(
      aState, { .host = target, .forwardId = id }, aCommand.command, aActions);
  }
}

void
FailCommand(const PendingCommand& aCommand,
            ErrorKind aKind,
            std::string_view aDetail,
            Actions& aActions)
{
  if (aCommand.ticket) {
    aActions.emplace_back(CommandFailed{ .ticket = *aCommand.ticket,
                                         .error = MakeError(aKind, aDetail),
                                         .mayApply = aCommand.sent });
  }
}

void
ExpireCommand(State& aState, std::uint64_t aNumber, Actions& aActions)
{
  const auto command = aState.commands.extract(aNumber);
  FailCommand(command.mapped(),
              ErrorKind::ControlUnavailable,
              "the control group did not apply the command in time",
              aActions);
}

void
Resend(State& aState, std::uint64_t aNumber, Instant aNow, Actions& aActions)
{
  const auto found = aState.commands.find(aNumber);
  if (found == aState.commands.end()) {
    return;
  }
  aState.timers.erase({ DueAt(found->second), aNumber });
  SendCommand(aState, aNumber, found->second, aNow, aActions);
}

void
OnMessage(State& aState,
          const HostId& aFrom,
          const ForwardRequest& aRequest,
          Actions& aActions)
{
  const auto* claimant = ClaimantOf(aRequest.command);
  if (claimant == nullptr || *claimant != aFrom) {
    return;
  }
  if (aState.leader != aState.settings.self ||
      aState.origins.size() >= aState.settings.maxPending) {
    aActions.emplace_back(Send{
      .to = aFrom,
      .message = NotLeader{ .id = aRequest.id, .leader = aState.leader } });
    return;
  }
  Propose(aState,
          { .host = aFrom, .forwardId = aRequest.id },
          aRequest.command,
          aActions);
}

void
RedirectTo(State& aState,
           const HostId& aFrom,
           const NotLeader& aAnswer,
           Instant aNow,
           Actions& aActions)
{
  if (aAnswer.id.incarnation != aState.settings.incarnation ||
      aState.leader == aState.settings.self) {
    return;
  }
  const bool leaderChanged =
    aAnswer.leader != aFrom && aAnswer.leader != aState.leader &&
    !aAnswer.leader.Empty() && aAnswer.leader != aState.settings.self;
  if (aState.leader == aFrom) {
    aState.leader = {};
  }
  if (leaderChanged) {
    aState.leader = aAnswer.leader;
    Resend(aState, aAnswer.id.number, aNow, aActions);
  }
}

} // namespace

void
Submit(State& aState, PendingCommand aCommand, Instant aNow, Actions& aActions)
{
  if (aState.commands.size() >= aState.settings.maxPending) {
    FailCommand(aCommand,
                ErrorKind::Overloaded,
                "too many commands of keyed calls wait for the control group",
                aActions);
    return;
  }
  if (aState.leader.Empty() && aState.settings.members.empty()) {
    FailCommand(aCommand,
                ErrorKind::ControlUnavailable,
                "the host knows no member of the control group",
                aActions);
    return;
  }
  const auto number = ++aState.lastNumber;
  auto& command = aState.commands[number];
  command = std::move(aCommand);
  SendCommand(aState, number, command, aNow, aActions);
}

void
ResendAll(State& aState, Instant aNow, Actions& aActions)
{
  std::vector<std::uint64_t> numbers;
  numbers.reserve(aState.commands.size());
  for (const auto& [number, command] : aState.commands) {
    numbers.push_back(number);
  }
  for (const auto number : numbers) {
    Resend(aState, number, aNow, aActions);
  }
}

void
Complete(State& aState,
         std::uint64_t aNumber,
         const Outcome& aOutcome,
         Actions& aActions)
{
  const auto found = aState.commands.find(aNumber);
  if (found == aState.commands.end()) {
    return;
  }
  const auto& pending = found->second;
  aState.timers.erase({ DueAt(pending), aNumber });
  if (pending.ticket) {
    aActions.emplace_back(
      Decided{ .ticket = *pending.ticket, .outcome = aOutcome });
  }
  aState.commands.erase(found);
}

void
HandleTimers(State& aState, Instant aNow, Actions& aActions)
{
  while (!aState.timers.empty() && aState.timers.begin()->first <= aNow) {
    const auto number = aState.timers.begin()->second;
    aState.timers.erase(aState.timers.begin());
    auto& command = aState.commands.at(number);
    if (command.until <= aNow) {
      ExpireCommand(aState, number, aActions);
      continue;
    }
    // The last host asked didn't reply, so the next member is tried.
    if (aState.leader != aState.settings.self) {
      aState.leader = {};
    }
    SendCommand(aState, number, command, aNow, aActions);
  }
}

void
Receive(State& aState,
        const Received& aReceived,
        Instant aNow,
        Actions& aActions)
{
  if (const auto* request = std::get_if<ForwardRequest>(&aReceived.message)) {
    OnMessage(aState, aReceived.from, *request, aActions);
  } else if (const auto* reply =
               std::get_if<ForwardReply>(&aReceived.message)) {
    if (reply->id.incarnation != aState.settings.incarnation) {
      return;
    }
    if (aState.leader != aState.settings.self) {
      aState.leader = aReceived.from;
    }
    Complete(aState, reply->id.number, reply->outcome, aActions);
  } else {
    RedirectTo(aState,
               aReceived.from,
               std::get<NotLeader>(aReceived.message),
               aNow,
               aActions);
  }
}

void
HandleRefused(State& aState, Ticket aTicket, Instant aNow, Actions& aActions)
{
  const auto found = aState.origins.find(aTicket);
  if (found == aState.origins.end()) {
    return;
  }
  const auto origin = found->second;
  aState.origins.erase(found);
  if (origin.host != aState.settings.self) {
    aActions.emplace_back(
      Send{ .to = origin.host,
            .message = NotLeader{ .id = origin.forwardId, .leader = {} } });
  } else if (aState.leader != aState.settings.self) {
    Resend(aState, origin.forwardId.number, aNow, aActions);
  }
}

void
ReportOutcome(State& aState,
              Ticket aTicket,
              const Outcome& aOutcome,
              Actions& aActions)
{
  const auto found = aState.origins.find(aTicket);
  if (found == aState.origins.end()) {
    return;
  }
  const auto origin = found->second;
  aState.origins.erase(found);
  if (origin.host == aState.settings.self) {
    Complete(aState, origin.forwardId.number, aOutcome, aActions);
    return;
  }
  aActions.emplace_back(Send{
    .to = origin.host,
    .message = ForwardReply{ .id = origin.forwardId, .outcome = aOutcome } });
}

} // namespace balsampoint::ledger
