#include "balsampoint/peer/ledger_codec.hpp"

#include "balsampoint/ledger/command/apply.hpp"
#include "balsampoint/peer/generated/ledger_types.h"
#include "balsampoint/peer/thrift_bytes.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::peer {

namespace {

namespace wire = generated;

wire::LedgerKey
ToWire(const ledger::Key& aKey)
{
  wire::LedgerKey key;
  key.workspaceId = aKey.workspace.String();
  key.serviceId = aKey.service.String();
  key.value = aKey.value;
  return key;
}

ledger::Key
FromWire(const wire::LedgerKey& aKey)
{
  return { WorkspaceId{ aKey.workspaceId },
           ServiceId{ aKey.serviceId },
           aKey.value };
}

wire::LedgerClaimId
ToWire(const ledger::ClaimId& aId)
{
  wire::LedgerClaimId id;
  id.host = aId.host.String();
  id.incarnation = static_cast<std::int64_t>(aId.incarnation.Value());
  id.number = static_cast<std::int64_t>(aId.number);
  return id;
}

ledger::ClaimId
FromWire(const wire::LedgerClaimId& aId)
{
  return { HostId{ aId.host },
           Incarnation{ static_cast<std::uint64_t>(aId.incarnation) },
           static_cast<std::uint64_t>(aId.number) };
}

wire::LedgerAnswer
ToWire(const ledger::StoredAnswer& aAnswer)
{
  wire::LedgerAnswer answer;
  answer.status = aAnswer.status;
  for (const auto& header : aAnswer.headers) {
    auto& added = answer.headers.emplace_back();
    added.name = header.name;
    added.value = header.value;
  }
  answer.body = aAnswer.body;
  answer.complete = aAnswer.complete;
  return answer;
}

ledger::StoredAnswer
FromWire(const wire::LedgerAnswer& aAnswer)
{
  ledger::StoredAnswer answer{ .status =
                                 static_cast<std::uint16_t>(aAnswer.status),
                               .headers = {},
                               .body = aAnswer.body,
                               .complete = aAnswer.complete };
  for (const auto& header : aAnswer.headers) {
    answer.headers.push_back({ header.name, header.value });
  }
  return answer;
}

tl::expected<ledger::Digest, Error>
ReadDigest(const std::string& aText)
{
  ledger::Digest digest{};
  if (aText.size() != digest.size()) {
    return Refuse(ErrorKind::BadRequest, "a digest has 32 bytes");
  }
  std::ranges::copy(FromText(aText), digest.begin());
  return digest;
}

/** @brief Fills the field of the union that belongs to a command. */
struct CommandWriter
{
  wire::LedgerCommand& out;

  void operator()(const ledger::Claim& aClaim) const
  {
    wire::LedgerClaim claim;
    claim.key = ToWire(aClaim.key);
    claim.digest = ToText(aClaim.digest);
    claim.id = ToWire(aClaim.id);
    out.__set_claim(claim);
  }
  void operator()(const ledger::Record& aRecord) const
  {
    wire::LedgerRecord record;
    record.key = ToWire(aRecord.key);
    record.id = ToWire(aRecord.id);
    record.answer = ToWire(aRecord.answer);
    out.__set_record(record);
  }
  void operator()(const ledger::Release& aRelease) const
  {
    wire::LedgerRelease release;
    release.key = ToWire(aRelease.key);
    release.id = ToWire(aRelease.id);
    out.__set_release(release);
  }
  void operator()(const ledger::TimeStep& aStep) const
  {
    wire::LedgerTimeStep step;
    step.start = aStep.from.count();
    step.length = aStep.by.count();
    out.__set_timeStep(step);
  }
};

wire::LedgerCommand
ToWire(const ledger::Command& aCommand)
{
  wire::LedgerCommand command;
  std::visit(CommandWriter{ command }, aCommand);
  return command;
}

tl::expected<ledger::Command, Error>
FromWire(const wire::LedgerCommand& aCommand)
{
  if (aCommand.__isset.claim) {
    const auto& claim = aCommand.claim;
    return ReadDigest(claim.digest).map([&](const ledger::Digest& aDigest) {
      return ledger::Command{ ledger::Claim{
        FromWire(claim.key), aDigest, FromWire(claim.id) } };
    });
  }
  if (aCommand.__isset.record) {
    const auto& record = aCommand.record;
    return ledger::Record{ FromWire(record.key),
                           FromWire(record.id),
                           FromWire(record.answer) };
  }
  if (aCommand.__isset.release) {
    return ledger::Release{ FromWire(aCommand.release.key),
                            FromWire(aCommand.release.id) };
  }
  if (aCommand.__isset.timeStep) {
    return ledger::TimeStep{ Duration{ aCommand.timeStep.start },
                             Duration{ aCommand.timeStep.length } };
  }
  return Refuse(ErrorKind::BadRequest, "unknown command of the ledger");
}

wire::LedgerError
ToWire(const Error& aError)
{
  wire::LedgerError error;
  error.kind = AnswerFor(aError.kind).name;
  error.detail = aError.detail;
  error.executed = ToString(aError.executed);
  error.retryAfter = aError.retryAfter.count();
  return error;
}

Error
FromWire(const wire::LedgerError& aError)
{
  const auto answers = ErrorAnswers();
  const auto found =
    std::ranges::find(answers, aError.kind, &ErrorAnswer::name);
  Error error{ .kind =
                 found == answers.end() ? ErrorKind::Internal : found->kind,
               .detail = aError.detail,
               .executed = Executed::Unknown,
               .retryAfter = Duration{ aError.retryAfter } };
  for (const auto executed : { Executed::No, Executed::Yes }) {
    if (ToString(executed) == aError.executed) {
      error.executed = executed;
    }
  }
  return error;
}

/** @brief Fills the field of the union that belongs to an outcome. */
struct OutcomeWriter
{
  wire::LedgerOutcome& out;

  void operator()(const ledger::Granted& /*aGranted*/) const
  {
    out.__set_granted({});
  }
  void operator()(const ledger::Repeated& aRepeated) const
  {
    out.__set_repeated(ToWire(aRepeated.answer));
  }
  void operator()(const ledger::InDoubt& aDoubt) const
  {
    out.__set_inDoubt(ToWire(aDoubt.holder));
  }
  void operator()(const ledger::Done& /*aDone*/) const { out.__set_done({}); }
  void operator()(const Error& aError) const
  {
    out.__set_error(ToWire(aError));
  }
};

tl::expected<ledger::Outcome, Error>
FromWire(const wire::LedgerOutcome& aOutcome)
{
  if (aOutcome.__isset.granted) {
    return ledger::Granted{};
  }
  if (aOutcome.__isset.repeated) {
    return ledger::Repeated{ FromWire(aOutcome.repeated) };
  }
  if (aOutcome.__isset.inDoubt) {
    return ledger::InDoubt{ FromWire(aOutcome.inDoubt) };
  }
  if (aOutcome.__isset.done) {
    return ledger::Done{};
  }
  if (aOutcome.__isset.error) {
    return ledger::Outcome{ FromWire(aOutcome.error) };
  }
  return Refuse(ErrorKind::BadRequest, "unknown outcome of the ledger");
}

wire::LedgerAskId
ToWire(const ledger::ForwardId& aId)
{
  wire::LedgerAskId id;
  id.incarnation = static_cast<std::int64_t>(aId.incarnation.Value());
  id.number = static_cast<std::int64_t>(aId.number);
  return id;
}

ledger::ForwardId
FromWire(const wire::LedgerAskId& aId)
{
  return { Incarnation{ static_cast<std::uint64_t>(aId.incarnation) },
           static_cast<std::uint64_t>(aId.number) };
}

/** @brief Fills the field of the union that belongs to a message. */
struct MessageWriter
{
  wire::LedgerMessage& out;

  void operator()(const ledger::ForwardRequest& aRequest) const
  {
    wire::LedgerAsk ask;
    ask.id = ToWire(aRequest.id);
    ask.command = ToWire(aRequest.command);
    out.__set_ask(ask);
  }
  void operator()(const ledger::ForwardReply& aReply) const
  {
    wire::LedgerTold told;
    told.id = ToWire(aReply.id);
    std::visit(OutcomeWriter{ told.outcome }, aReply.outcome);
    out.__set_told(told);
  }
  void operator()(const ledger::NotLeader& aNotLeader) const
  {
    wire::LedgerNotLeader notLeader;
    notLeader.id = ToWire(aNotLeader.id);
    notLeader.leader = aNotLeader.leader.String();
    out.__set_notLeader(notLeader);
  }
};

tl::expected<ledger::Message, Error>
ReadMessage(const wire::LedgerMessage& aMessage)
{
  if (aMessage.__isset.ask) {
    return FromWire(aMessage.ask.command)
      .map([&](const ledger::Command& aCommand) {
        return ledger::Message{ ledger::ForwardRequest{
          FromWire(aMessage.ask.id), aCommand } };
      });
  }
  if (aMessage.__isset.told) {
    return FromWire(aMessage.told.outcome)
      .map([&](const ledger::Outcome& aOutcome) {
        return ledger::Message{ ledger::ForwardReply{
          FromWire(aMessage.told.id), aOutcome } };
      });
  }
  if (aMessage.__isset.notLeader) {
    return ledger::NotLeader{ FromWire(aMessage.notLeader.id),
                              HostId{ aMessage.notLeader.leader } };
  }
  return Refuse(ErrorKind::BadRequest, "unknown message of the ledger");
}

tl::expected<ledger::Entry, Error>
FromWire(const wire::LedgerEntry& aEntry)
{
  constexpr auto kLast = static_cast<std::int32_t>(ledger::Phase::Released);
  if (aEntry.phase < 0 || aEntry.phase > kLast) {
    return Refuse(ErrorKind::BadRequest, "unknown phase of a key");
  }
  return ReadDigest(aEntry.digest).map([&](const ledger::Digest& aDigest) {
    return ledger::Entry{ aDigest,
                          FromWire(aEntry.claim),
                          static_cast<ledger::Phase>(aEntry.phase),
                          FromWire(aEntry.answer),
                          Duration{ aEntry.expiry } };
  });
}

} // namespace

ByteVector
Encode(const ledger::Message& aMessage)
{
  wire::LedgerMessage message;
  std::visit(MessageWriter{ message }, aMessage);
  return ToBytes(message);
}

tl::expected<ledger::Message, Error>
DecodeLedgerMessage(ByteView aBytes)
{
  return FromBytes<wire::LedgerMessage>(aBytes).and_then(ReadMessage);
}

ByteVector
Encode(const ledger::Command& aCommand)
{
  return ToBytes(ToWire(aCommand));
}

tl::expected<ledger::Command, Error>
DecodeLedgerCommand(ByteView aBytes)
{
  return FromBytes<wire::LedgerCommand>(aBytes).and_then(
    [](const wire::LedgerCommand& aCommand) { return FromWire(aCommand); });
}

ByteVector
Encode(const ledger::Table& aTable)
{
  wire::LedgerTable table;
  table.time = aTable.time.count();
  table.entries.reserve(aTable.entries.size());
  for (const auto& [key, entry] : aTable.entries) {
    auto& added = table.entries.emplace_back();
    added.key = ToWire(key);
    added.digest = ToText(entry.digest);
    added.claim = ToWire(entry.claim);
    added.phase = static_cast<std::int32_t>(entry.phase);
    added.answer = ToWire(entry.answer);
    added.expiry = entry.expiry.count();
  }
  return ToBytes(table);
}

tl::expected<ledger::Table, Error>
DecodeLedgerTable(ByteView aBytes, const ledger::Bounds& aBounds)
{
  const auto decoded = FromBytes<wire::LedgerTable>(aBytes);
  if (!decoded) {
    return tl::unexpected(decoded.error());
  }
  ledger::Table table;
  table.bounds = aBounds;
  table.time = Duration{ decoded->time };
  for (const auto& each : decoded->entries) {
    auto entry = FromWire(each);
    if (!entry) {
      return tl::unexpected(entry.error());
    }
    const auto key = FromWire(each.key);
    if (table.entries.contains(key)) {
      return Refuse(ErrorKind::BadRequest, "a key stands twice in the table");
    }
    ledger::Insert(table, key, std::move(*entry));
  }
  return table;
}

} // namespace balsampoint::peer
