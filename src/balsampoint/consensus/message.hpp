#pragma once

#include "balsampoint/consensus/entry.hpp"

#include <variant>

namespace balsampoint::consensus {

/** @brief Asks whether a vote would be given, or asks for it. */
struct VoteRequest
{
  Term term;
  Index lastIndex;
  Term lastTerm;
  /** Whether this only asks; nobody's term changes by it. */
  bool preVote{ false };
  /** Whether the leader itself asked for this election. */
  bool handOver{ false };
  /** Whether the candidate has never held any state. */
  bool fresh{ false };

  bool operator==(const VoteRequest&) const = default;
};

/** @brief Answers a `VoteRequest`. */
struct VoteReply
{
  Term term;
  bool preVote{ false };
  bool granted{ false };

  bool operator==(const VoteReply&) const = default;
};

/** @brief Entries that follow one another, or a heartbeat without any. */
struct AppendRequest
{
  Term term;
  Index previousIndex;
  Term previousTerm;
  std::vector<Entry> entries;
  Index committed;
  Round round;

  bool operator==(const AppendRequest&) const = default;
};

/** @brief Answers an `AppendRequest` once its entries are durable. */
struct AppendReply
{
  Term term;
  bool accepted{ false };
  /** Last durable entry equal to the leader's, or where to try next. */
  Index index;
  Round round;

  bool operator==(const AppendReply&) const = default;
};

/** @brief A part of a snapshot for a member that is far behind. */
struct SnapshotRequest
{
  Term term;
  Index index;
  Term snapshotTerm;
  Membership members;
  std::uint64_t offset{};
  std::uint64_t size{};
  ByteVector data;
  Round round;

  bool operator==(const SnapshotRequest&) const = default;
};

/** @brief Says how much of a snapshot has arrived. */
struct SnapshotReply
{
  Term term;
  Index index;
  std::uint64_t received{};
  Round round;

  bool operator==(const SnapshotReply&) const = default;
};

/** @brief Asks a caught-up voter to stand for election at once. */
struct HandOverRequest
{
  Term term;

  bool operator==(const HandOverRequest&) const = default;
};

/** @brief Everything that members send to one another. */
using Message = std::variant<VoteRequest,
                             VoteReply,
                             AppendRequest,
                             AppendReply,
                             SnapshotRequest,
                             SnapshotReply,
                             HandOverRequest>;

} // namespace balsampoint::consensus
