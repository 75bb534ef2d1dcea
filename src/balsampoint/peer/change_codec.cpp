#include "balsampoint/peer/change_codec.hpp"

#include "balsampoint/peer/internal/change_wire.hpp"
#include "balsampoint/peer/thrift_bytes.hpp"

#include <utility>

namespace balsampoint::peer {

namespace {

namespace wire = generated;

using internal::FromWire;
using internal::ToWire;

wire::ChangeCommand
ToWire(const change::Change& aChange)
{
  wire::ChangeCommand command;
  command.number = ToWire(aChange.number);
  command.changeId = aChange.id.String();
  command.author = aChange.author.String();
  command.digest = aChange.digest;
  command.whole = aChange.whole;
  command.delta = ToWire(aChange.delta);
  command.__set_numbering(static_cast<std::int32_t>(aChange.numbering));
  return command;
}

change::Change
FromWire(const wire::ChangeCommand& aCommand)
{
  return { FromWire<ChangeNumber>(aCommand.number),
           ChangeId{ aCommand.changeId },
           OperatorId{ aCommand.author },
           aCommand.digest,
           aCommand.whole,
           FromWire(aCommand.delta),
           aCommand.numbering == 0 ? change::Numbering::Consecutive
                                   : change::Numbering::Increasing };
}

wire::ChangeAnswer
ToWire(const change::Answer& aAnswer)
{
  wire::ChangeAnswer answer;
  answer.outcome = static_cast<std::int32_t>(aAnswer.outcome);
  answer.number = ToWire(aAnswer.number);
  answer.winner = aAnswer.winner.String();
  answer.nextNumber = ToWire(aAnswer.next);
  return answer;
}

tl::expected<change::Answer, Error>
FromWire(const wire::ChangeAnswer& aAnswer)
{
  constexpr auto kLast = static_cast<std::int32_t>(change::Outcome::Superseded);
  if (aAnswer.outcome < 0 || aAnswer.outcome > kLast) {
    return Refuse(ErrorKind::BadRequest, "unknown outcome of a change");
  }
  return change::Answer{ static_cast<change::Outcome>(aAnswer.outcome),
                         FromWire<ChangeNumber>(aAnswer.number),
                         ChangeId{ aAnswer.winner },
                         FromWire<ChangeNumber>(aAnswer.nextNumber) };
}

/** @brief Fills the field of the union that belongs to a message. */
struct MessageWriter
{
  wire::ChangeMessage& out;

  void operator()(const change::Submission& aMessage) const
  {
    wire::ChangeSubmission submission;
    submission.ticket = ToWire(aMessage.ticket);
    submission.attempt = ToWire(aMessage.attempt);
    submission.command = ToWire(aMessage.change);
    out.__set_submission(submission);
  }
  void operator()(const change::SubmissionReply& aMessage) const
  {
    wire::ChangeSubmissionReply reply;
    reply.ticket = ToWire(aMessage.ticket);
    reply.attempt = ToWire(aMessage.attempt);
    reply.changeId = aMessage.change.String();
    reply.leader = aMessage.leader.String();
    if (aMessage.answer) {
      reply.__set_answer(ToWire(*aMessage.answer));
    }
    out.__set_reply(reply);
  }
};

tl::expected<change::Message, Error>
ReadReply(const wire::ChangeSubmissionReply& aReply)
{
  change::SubmissionReply reply{ FromWire<Ticket>(aReply.ticket),
                                 FromWire<AttemptNumber>(aReply.attempt),
                                 ChangeId{ aReply.changeId },
                                 std::nullopt,
                                 HostId{ aReply.leader } };
  if (!aReply.__isset.answer) {
    return reply;
  }
  return FromWire(aReply.answer).map([&reply](const change::Answer& aAnswer) {
    reply.answer = aAnswer;
    return change::Message{ reply };
  });
}

tl::expected<change::Message, Error>
ReadMessage(const wire::ChangeMessage& aMessage)
{
  if (aMessage.__isset.submission) {
    const auto& submission = aMessage.submission;
    return change::Submission{ FromWire<Ticket>(submission.ticket),
                               FromWire<AttemptNumber>(submission.attempt),
                               FromWire(submission.command) };
  }
  if (aMessage.__isset.reply) {
    return ReadReply(aMessage.reply);
  }
  return Refuse(ErrorKind::BadRequest, "unknown message about changes");
}

wire::ChangeDecided
ToWire(const ChangeId& aId, const change::Decided& aDecided)
{
  wire::ChangeDecided decided;
  decided.number = ToWire(aDecided.number);
  decided.changeId = aId.String();
  decided.author = aDecided.author.String();
  decided.digest = aDecided.digest;
  decided.answer = ToWire(aDecided.answer);
  return decided;
}

tl::expected<change::Table, Error>
ReadTable(const wire::ChangeTable& aTable)
{
  change::Table table;
  table.number = FromWire<ChangeNumber>(aTable.number);
  table.sections = std::make_shared<const change::Sections>(aTable.sections);
  for (const auto& decided : aTable.decided) {
    const auto answer = FromWire(decided.answer);
    if (!answer) {
      return tl::unexpected(answer.error());
    }
    const ChangeId id{ decided.changeId };
    const auto number = FromWire<ChangeNumber>(decided.number);
    table.decided[id] = {
      number, OperatorId{ decided.author }, decided.digest, *answer
    };
    table.order.push_back(id);
    if (answer->outcome == change::Outcome::Accepted) {
      table.winners[number] = id;
    }
  }
  return table;
}

} // namespace

ByteVector
Encode(const change::Message& aMessage)
{
  wire::ChangeMessage message;
  std::visit(MessageWriter{ message }, aMessage);
  return ToBytes(message);
}

tl::expected<change::Message, Error>
DecodeChangeMessage(ByteView aBytes)
{
  return FromBytes<wire::ChangeMessage>(aBytes).and_then(ReadMessage);
}

ByteVector
Encode(const change::Change& aChange)
{
  return ToBytes(ToWire(aChange));
}

tl::expected<change::Change, Error>
DecodeChange(ByteView aBytes)
{
  return FromBytes<wire::ChangeCommand>(aBytes).map(
    [](const wire::ChangeCommand& aCommand) { return FromWire(aCommand); });
}

ByteVector
Encode(const change::Table& aTable)
{
  wire::ChangeTable table;
  table.number = ToWire(aTable.number);
  table.sections = *aTable.sections;
  for (const auto& id : aTable.order) {
    table.decided.push_back(ToWire(id, aTable.decided.at(id)));
  }
  return ToBytes(table);
}

tl::expected<change::Table, Error>
DecodeChangeTable(ByteView aBytes)
{
  return FromBytes<wire::ChangeTable>(aBytes).and_then(ReadTable);
}

} // namespace balsampoint::peer
