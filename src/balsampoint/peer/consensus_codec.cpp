#include "balsampoint/peer/consensus_codec.hpp"

#include "balsampoint/peer/generated/consensus_types.h"
#include "balsampoint/peer/thrift_bytes.hpp"

#include <algorithm>
#include <chrono>

namespace balsampoint::peer {

namespace {

/** Longer silences make no difference; keeps arithmetic in range. */
constexpr std::chrono::hours kLongestSilence{ 24 };

namespace wire = generated;

template<typename Number>
std::int64_t
ToWire(Number aNumber)
{
  return static_cast<std::int64_t>(aNumber.Value());
}

template<typename Number>
Number
FromWire(std::int64_t aNumber)
{
  return Number{ static_cast<std::uint64_t>(aNumber) };
}

using consensus::Index;
using consensus::Round;
using consensus::Term;

std::vector<wire::ConsensusMember>
ToWire(const consensus::Membership& aMembers)
{
  std::vector<wire::ConsensusMember> members;
  for (const auto& member : aMembers.members) {
    auto& added = members.emplace_back();
    added.host = member.host.String();
    added.zone = member.zone.String();
    added.voter = member.role == consensus::MemberRole::Voter;
    added.replaces = member.replaces.String();
  }
  return members;
}

consensus::Membership
FromWire(std::span<const wire::ConsensusMember> aMembers)
{
  consensus::Membership members;
  for (const auto& member : aMembers) {
    members.members.push_back({ HostId{ member.host },
                                ZoneId{ member.zone },
                                member.voter ? consensus::MemberRole::Voter
                                             : consensus::MemberRole::Learner,
                                HostId{ member.replaces } });
  }
  return members;
}

std::vector<wire::ConsensusSilence>
ToWire(std::span<const consensus::Silence> aSilences)
{
  std::vector<wire::ConsensusSilence> silences;
  for (const auto& silence : aSilences) {
    auto& one = silences.emplace_back();
    one.host = silence.host.String();
    one.microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(silence.duration)
        .count();
  }
  return silences;
}

wire::ConsensusEntry
ToWire(const consensus::Entry& aEntry)
{
  wire::ConsensusEntry entry;
  entry.index = ToWire(aEntry.index);
  entry.term = ToWire(aEntry.term);
  entry.kind = static_cast<std::int32_t>(aEntry.kind);
  entry.command = ToText(aEntry.command);
  entry.members = ToWire(aEntry.members);
  return entry;
}

tl::expected<consensus::Entry, Error>
FromWire(const wire::ConsensusEntry& aEntry)
{
  constexpr auto kLast =
    static_cast<std::int32_t>(consensus::EntryKind::Members);
  if (aEntry.kind < 0 || aEntry.kind > kLast) {
    return Refuse(ErrorKind::BadRequest, "unknown kind of entry");
  }
  return consensus::Entry{ FromWire<Index>(aEntry.index),
                           FromWire<Term>(aEntry.term),
                           static_cast<consensus::EntryKind>(aEntry.kind),
                           FromText(aEntry.command),
                           FromWire(aEntry.members) };
}

/** @brief Fills the field of the union that belongs to a message. */
struct MessageWriter
{
  wire::ConsensusMessage& out;

  void operator()(const consensus::VoteRequest& aMessage) const
  {
    wire::ConsensusVoteRequest request;
    request.term = ToWire(aMessage.term);
    request.lastIndex = ToWire(aMessage.lastIndex);
    request.lastTerm = ToWire(aMessage.lastTerm);
    request.preVote = aMessage.preVote;
    request.handOver = aMessage.handOver;
    request.fresh = aMessage.fresh;
    out.__set_voteRequest(request);
  }
  void operator()(const consensus::VoteReply& aMessage) const
  {
    wire::ConsensusVoteReply reply;
    reply.term = ToWire(aMessage.term);
    reply.preVote = aMessage.preVote;
    reply.granted = aMessage.granted;
    out.__set_voteReply(reply);
  }
  void operator()(const consensus::AppendRequest& aMessage) const
  {
    wire::ConsensusAppendRequest request;
    request.term = ToWire(aMessage.term);
    request.previousIndex = ToWire(aMessage.previousIndex);
    request.previousTerm = ToWire(aMessage.previousTerm);
    for (const auto& entry : aMessage.entries) {
      request.entries.push_back(ToWire(entry));
    }
    request.committed = ToWire(aMessage.committed);
    request.round = ToWire(aMessage.round);
    if (!aMessage.silences.empty()) {
      request.__set_silences(ToWire(std::span{ aMessage.silences }));
    }
    out.__set_appendRequest(request);
  }
  void operator()(const consensus::AppendReply& aMessage) const
  {
    wire::ConsensusAppendReply reply;
    reply.term = ToWire(aMessage.term);
    reply.accepted = aMessage.accepted;
    reply.index = ToWire(aMessage.index);
    reply.round = ToWire(aMessage.round);
    reply.__set_recovering(aMessage.recovering);
    out.__set_appendReply(reply);
  }
  void operator()(const consensus::SnapshotRequest& aMessage) const
  {
    wire::ConsensusSnapshotRequest request;
    request.term = ToWire(aMessage.term);
    request.index = ToWire(aMessage.index);
    request.snapshotTerm = ToWire(aMessage.snapshotTerm);
    request.members = ToWire(aMessage.members);
    request.offset = static_cast<std::int64_t>(aMessage.offset);
    request.size = static_cast<std::int64_t>(aMessage.size);
    request.data = ToText(aMessage.data);
    request.round = ToWire(aMessage.round);
    out.__set_snapshotRequest(request);
  }
  void operator()(const consensus::SnapshotReply& aMessage) const
  {
    wire::ConsensusSnapshotReply reply;
    reply.term = ToWire(aMessage.term);
    reply.index = ToWire(aMessage.index);
    reply.received = static_cast<std::int64_t>(aMessage.received);
    reply.round = ToWire(aMessage.round);
    out.__set_snapshotReply(reply);
  }
  void operator()(const consensus::HandOverRequest& aMessage) const
  {
    wire::ConsensusHandOverRequest request;
    request.term = ToWire(aMessage.term);
    out.__set_handOverRequest(request);
  }
};

tl::expected<consensus::Message, Error>
FromWire(const wire::ConsensusAppendRequest& aRequest)
{
  consensus::AppendRequest request{ FromWire<Term>(aRequest.term),
                                    FromWire<Index>(aRequest.previousIndex),
                                    FromWire<Term>(aRequest.previousTerm),
                                    {},
                                    FromWire<Index>(aRequest.committed),
                                    FromWire<Round>(aRequest.round) };
  auto expected = request.previousIndex;
  for (const auto& entry : aRequest.entries) {
    auto decoded = FromWire(entry);
    if (!decoded) {
      return tl::unexpected(decoded.error());
    }
    expected = expected.Next();
    if (decoded->index != expected) {
      return Refuse(ErrorKind::BadRequest, "entries out of order");
    }
    request.entries.push_back(std::move(*decoded));
  }
  for (const auto& silence : aRequest.silences) {
    const std::chrono::microseconds told{ silence.microseconds };
    request.silences.push_back(
      { HostId{ silence.host },
        std::clamp<std::chrono::microseconds>(told, {}, kLongestSilence) });
  }
  return request;
}

consensus::Message
FromWire(const wire::ConsensusSnapshotRequest& aRequest)
{
  return consensus::SnapshotRequest{ FromWire<Term>(aRequest.term),
                                     FromWire<Index>(aRequest.index),
                                     FromWire<Term>(aRequest.snapshotTerm),
                                     FromWire(aRequest.members),
                                     static_cast<std::uint64_t>(
                                       aRequest.offset),
                                     static_cast<std::uint64_t>(aRequest.size),
                                     FromText(aRequest.data),
                                     FromWire<Round>(aRequest.round) };
}

tl::expected<consensus::Message, Error>
ReadReply(const wire::ConsensusMessage& aMessage)
{
  if (aMessage.__isset.voteReply) {
    const auto& reply = aMessage.voteReply;
    return consensus::VoteReply{ FromWire<Term>(reply.term),
                                 reply.preVote,
                                 reply.granted };
  }
  if (aMessage.__isset.appendReply) {
    const auto& reply = aMessage.appendReply;
    return consensus::AppendReply{ FromWire<Term>(reply.term),
                                   reply.accepted,
                                   FromWire<Index>(reply.index),
                                   FromWire<Round>(reply.round),
                                   reply.recovering };
  }
  if (aMessage.__isset.snapshotReply) {
    const auto& reply = aMessage.snapshotReply;
    return consensus::SnapshotReply{ FromWire<Term>(reply.term),
                                     FromWire<Index>(reply.index),
                                     static_cast<std::uint64_t>(reply.received),
                                     FromWire<Round>(reply.round) };
  }
  return Refuse(ErrorKind::BadRequest, "unknown message of the log");
}

tl::expected<consensus::Message, Error>
ReadMessage(const wire::ConsensusMessage& aMessage)
{
  if (aMessage.__isset.voteRequest) {
    const auto& request = aMessage.voteRequest;
    return consensus::VoteRequest{ FromWire<Term>(request.term),
                                   FromWire<Index>(request.lastIndex),
                                   FromWire<Term>(request.lastTerm),
                                   request.preVote,
                                   request.handOver,
                                   request.fresh };
  }
  if (aMessage.__isset.appendRequest) {
    return FromWire(aMessage.appendRequest);
  }
  if (aMessage.__isset.snapshotRequest) {
    return FromWire(aMessage.snapshotRequest);
  }
  if (aMessage.__isset.handOverRequest) {
    return consensus::HandOverRequest{ FromWire<Term>(
      aMessage.handOverRequest.term) };
  }
  return ReadReply(aMessage);
}

} // namespace

ByteVector
Encode(const consensus::Message& aMessage)
{
  wire::ConsensusMessage message;
  std::visit(MessageWriter{ message }, aMessage);
  return ToBytes(message);
}

tl::expected<consensus::Message, Error>
DecodeConsensusMessage(ByteView aBytes)
{
  return FromBytes<wire::ConsensusMessage>(aBytes).and_then(ReadMessage);
}

ByteVector
Encode(const consensus::Entry& aEntry)
{
  return ToBytes(ToWire(aEntry));
}

tl::expected<consensus::Entry, Error>
DecodeEntry(ByteView aBytes)
{
  return FromBytes<wire::ConsensusEntry>(aBytes).and_then(
    [](const wire::ConsensusEntry& aEntry) { return FromWire(aEntry); });
}

ByteVector
Encode(const consensus::Snapshot& aSnapshot)
{
  wire::ConsensusSnapshot snapshot;
  snapshot.index = ToWire(aSnapshot.index);
  snapshot.term = ToWire(aSnapshot.term);
  snapshot.members = ToWire(aSnapshot.members);
  snapshot.data = ToText(aSnapshot.data);
  return ToBytes(snapshot);
}

tl::expected<consensus::Snapshot, Error>
DecodeSnapshot(ByteView aBytes)
{
  return FromBytes<wire::ConsensusSnapshot>(aBytes).map(
    [](const wire::ConsensusSnapshot& aSnapshot) {
      return consensus::Snapshot{ FromWire<Index>(aSnapshot.index),
                                  FromWire<Term>(aSnapshot.term),
                                  FromWire(aSnapshot.members),
                                  FromText(aSnapshot.data) };
    });
}

ByteVector
Encode(const consensus::HardState& aHard)
{
  wire::ConsensusHardState hard;
  hard.term = ToWire(aHard.term);
  hard.vote = aHard.vote.String();
  hard.recovering = aHard.recovering;
  return ToBytes(hard);
}

tl::expected<consensus::HardState, Error>
DecodeHardState(ByteView aBytes)
{
  return FromBytes<wire::ConsensusHardState>(aBytes).map(
    [](const wire::ConsensusHardState& aHard) {
      return consensus::HardState{ FromWire<Term>(aHard.term),
                                   HostId{ aHard.vote },
                                   aHard.recovering };
    });
}

} // namespace balsampoint::peer
